/**
 * The service between entry instances: one client-streaming gRPC method that carries envelopes, encoded with
 * MessagePack. docs/design/peer-protocol.md says why there is no schema compiler in between.
 */
import { decode, encode } from '@msgpack/msgpack'
import type { ServiceDefinition } from '@grpc/grpc-js'
import { makeGenericClientConstructor } from '@grpc/grpc-js'
import type { InstanceId, PeerMessage } from '@cranberryyard/protocol'

/** A message with its sender. */
export interface Envelope {
  readonly from: InstanceId
  readonly message: PeerMessage
}

const serialize = (value: unknown): Buffer => Buffer.from(encode(value, { ignoreUndefined: true }))
const deserialize = (bytes: Buffer): unknown => decode(bytes)

/** The service's definition. */
export const peerService = {
  channel: {
    path: '/cranberryyard.Peer/Channel',
    requestStream: true,
    responseStream: false,
    requestSerialize: serialize,
    requestDeserialize: deserialize,
    responseSerialize: serialize,
    responseDeserialize: deserialize
  }
} satisfies ServiceDefinition

/** Client of the service. */
export const PeerClient = makeGenericClientConstructor(peerService, 'Peer')
