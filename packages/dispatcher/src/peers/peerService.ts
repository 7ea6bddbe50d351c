/**
 * The service between entry instances: one client-streaming gRPC method that carries envelopes.
 * docs/design/peer-protocol.md says why there is no schema compiler in between.
 */
import { makeGenericClientConstructor } from '@grpc/grpc-js'
import type { ServiceDefinition } from '@grpc/grpc-js'
import { decodeEnvelope, encodeEnvelope } from './peerCodec.js'

const emptyResponse = (): Buffer => Buffer.alloc(0)
const ignoreResponse = (): object => ({})

/** The service's definition. */
export const peerService = {
  channel: {
    path: '/cranberryyard.Peer/Channel',
    requestStream: true,
    responseStream: false,
    requestSerialize: encodeEnvelope,
    requestDeserialize: decodeEnvelope,
    responseSerialize: emptyResponse,
    responseDeserialize: ignoreResponse
  }
} satisfies ServiceDefinition

/** Client of the service. */
export const PeerClient = makeGenericClientConstructor(peerService, 'Peer')
