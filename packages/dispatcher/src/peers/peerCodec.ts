/**
 * Encodes and decodes, with MessagePack, the envelopes that instances exchange. Gossip messages carry the heartbeats
 * and are by far the most frequent, so their member entries are arrays of values in a fixed order instead of maps with
 * field names. All other messages are encoded as they are. The codec is separate from the gRPC service because the
 * shard's links use it without gRPC.
 */
import { Encoder, decode } from '@msgpack/msgpack'
import type { InstanceId, MemberEntry, PeerMessage, ShardMessage } from '@cranberryyard/protocol'
import { ExactText } from './exactText.js'
import { packQueues, unpackQueues } from './packedQueues.js'
import type { TextPatch } from './exactText.js'

/** Any message that one instance sends to another. */
export type AnyPeerMessage = PeerMessage | ShardMessage

/** A message and the instance that sent it. */
export interface Envelope {
  readonly from: InstanceId
  readonly message: AnyPeerMessage
}

/** Order of a member entry's values on the wire. Append new fields: the position of a value is its only name. */
const ENTRY_FIELDS = [
  'instance',
  'incarnation',
  'failureDomain',
  'address',
  'heartbeat',
  'status',
  'versionInForce',
  'versionKnown',
  'claimsReadyEpoch',
  'backlog'
] as const satisfies readonly (keyof MemberEntry)[]

type WireEntry = readonly unknown[]
type WireMessage =
  | [from: InstanceId, message: AnyPeerMessage]
  | [from: InstanceId, message: AnyPeerMessage, unused: null, patches: readonly TextPatch[]]
  | [from: InstanceId, fleetVersion: number, entries: readonly WireEntry[]]

/** Only gossip messages are arrays of this length; all others have the sender, the message and, if some of its text needs them, patches as a fourth value. */
const GOSSIP_TUPLE_LENGTH = 3
/** Shared by all messages, so that its buffer is reused. */
const encoder = new Encoder({ ignoreUndefined: true })
const exactText = new ExactText()

/**
 * Encodes an envelope for the wire.
 * @param envelope - sender and message
 * @returns the encoded bytes
 */
export function encodeEnvelope (envelope: Envelope): Buffer {
  const { from, message } = envelope
  const wire = toWire(from, message)
  const { buffer, byteOffset, byteLength } = encoder.encode(wire)
  return Buffer.from(buffer, byteOffset, byteLength)
}

/**
 * Decodes an envelope. Input of another version or another program may arrive on the port; it must not harm the
 * instance, so the function never throws.
 * @param bytes - the bytes received
 * @returns sender and message, or undefined when the bytes are not an envelope
 */
export function decodeEnvelope (bytes: Buffer): Envelope | undefined {
  try {
    return readEnvelope(decode(bytes))
  } catch {
    return undefined
  }
}

/**
 * Reads an envelope from a value that MessagePack has decoded already. Checks only the outer form: the message may have
 * any fields. Throws when the entries of a gossip message are not arrays, or packed queues cannot be unpacked.
 * @param wire - the decoded value
 * @returns sender and message, or undefined when the value is not an envelope
 */
export function readEnvelope (wire: unknown): Envelope | undefined {
  if (!Array.isArray(wire) || typeof wire[0] !== 'string') return undefined
  const from = wire[0] as InstanceId
  if (wire.length !== GOSSIP_TUPLE_LENGTH) {
    const message = wire[1] as AnyPeerMessage | undefined
    if (typeof message?.type !== 'string') return undefined
    exactText.restore(message, wire[3])
    return { from, message: message.type === 'desiredChange' ? unpackQueues(message) : message }
  }
  const [, fleetVersion, entries] = wire as [InstanceId, number, readonly WireEntry[]]
  return { from, message: { type: 'gossip', fleetVersion, entries: entries.map(entryFromWire) } }
}

function toWire (from: InstanceId, message: AnyPeerMessage): WireMessage {
  if (message.type === 'gossip') return [from, message.fleetVersion, message.entries.map(entryToWire)]
  const sent = message.type === 'desiredChange' ? packQueues(message) : message
  const patches = exactText.collect(sent)
  return patches.length === 0 ? [from, sent] : [from, sent, null, patches]
}

function entryToWire (entry: MemberEntry): WireEntry {
  return ENTRY_FIELDS.map(field => entry[field])
}

function entryFromWire (values: WireEntry): MemberEntry {
  return Object.fromEntries(ENTRY_FIELDS.map((field, i) => [field, values[i]])) as unknown as MemberEntry
}
