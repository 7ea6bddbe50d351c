/**
 * Defines the gRPC service between entry instances: one client-streaming method that carries envelopes. The definition
 * is written by hand on top of the peer codec; docs/design/peer-protocol.md says why no schema compiler generates it.
 */
import { makeGenericClientConstructor } from '@grpc/grpc-js'
import type { ServiceDefinition } from '@grpc/grpc-js'
import { decodeEnvelope, encodeEnvelope } from './peerCodec.js'
import type { Envelope } from './peerCodec.js'

const emptyResponse = (): Buffer => Buffer.alloc(0)
const ignoreResponse = (): object => ({})

/** What arrives: an envelope, which is undefined if the bytes are none, and its size. */
export interface ReceivedEnvelope {
  readonly envelope: Envelope | undefined
  readonly bytes: number
}

const receiveEnvelope = (bytes: Buffer): ReceivedEnvelope => ({ envelope: decodeEnvelope(bytes), bytes: bytes.length })

/** Definition for server and client. The response is empty: a reply travels on the replying peer's own stream. */
export const peerService = {
  channel: {
    path: '/cranberryyard.Peer/Channel',
    requestStream: true,
    responseStream: false,
    requestSerialize: encodeEnvelope,
    requestDeserialize: receiveEnvelope,
    responseSerialize: emptyResponse,
    responseDeserialize: ignoreResponse
  }
} satisfies ServiceDefinition

/** Client of the peer service. */
export const PeerClient = makeGenericClientConstructor(peerService, 'Peer')
