/**
 * Encodes envelopes with MessagePack. Heartbeats are by far the most frequent messages, so their entries travel as
 * lists of values in a fixed order instead of maps with names.
 */
import { Encoder, decode } from '@msgpack/msgpack'
import type { InstanceId, MemberEntry, PeerMessage, ShardMessage } from '@cranberryyard/protocol'

/** Messages that instances send each other. */
export type AnyPeerMessage = PeerMessage | ShardMessage

/** A message with its sender. */
export interface Envelope {
  readonly from: InstanceId
  readonly message: AnyPeerMessage
}

/** Order of an entry's values on the wire; new fields are added at the end. */
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
type WireMessage = [from: InstanceId, message: AnyPeerMessage] | [from: InstanceId, fleetVersion: number, entries: readonly WireEntry[]]

const HEARTBEAT_LENGTH = 3
/** One for all messages: its buffer is used again. */
const encoder = new Encoder({ ignoreUndefined: true })

/**
 * Encodes an envelope.
 * @param envelope - sender and message
 * @returns bytes
 */
export function encodeEnvelope (envelope: Envelope): Buffer {
  const { from, message } = envelope
  const wire: WireMessage = message.type === 'gossip'
    ? [from, message.fleetVersion, message.entries.map(toWire)]
    : [from, message]
  const { buffer, byteOffset, byteLength } = encoder.encode(wire)
  return Buffer.from(buffer, byteOffset, byteLength)
}

/**
 * Decodes an envelope. Whatever else arrives on the port, from another version or another program, is no envelope
 * and must not harm the instance.
 * @param bytes - what encodeEnvelope made
 * @returns sender and message, or undefined for anything else
 */
export function decodeEnvelope (bytes: Buffer): Envelope | undefined {
  try {
    return readEnvelope(decode(bytes))
  } catch {
    return undefined
  }
}

/**
 * Reads an envelope from its decoded form.
 * @param wire - what MessagePack gave
 * @returns sender and message, or undefined for anything else
 */
export function readEnvelope (wire: unknown): Envelope | undefined {
  if (!Array.isArray(wire) || typeof wire[0] !== 'string') return undefined
  const from = wire[0] as InstanceId
  if (wire.length !== HEARTBEAT_LENGTH) {
    const message = wire[1] as AnyPeerMessage | undefined
    return typeof message?.type === 'string' ? { from, message } : undefined
  }
  const [, fleetVersion, entries] = wire as [InstanceId, number, readonly WireEntry[]]
  return { from, message: { type: 'gossip', fleetVersion, entries: entries.map(fromWire) } }
}

function toWire (entry: MemberEntry): WireEntry {
  return ENTRY_FIELDS.map(field => entry[field])
}

function fromWire (values: WireEntry): MemberEntry {
  return Object.fromEntries(ENTRY_FIELDS.map((field, i) => [field, values[i]])) as unknown as MemberEntry
}
