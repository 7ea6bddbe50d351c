/**
 * Compresses the queues of a large change of the desired state on its way between instances. Queues repeat their field names, hosts and services, so
 * that a state of a few thousand takes a tenth of its size, which decides how long it takes on a slow link.
 */
import type { DesiredChange, QueueTerms, ShardMessage } from '@cranberryyard/protocol'
import { deflateRawSync, inflateRawSync } from 'node:zlib'

/** Changes of fewer queues are sent as they are. */
const MIN_PACKED_QUEUES = 50
/** Longest text that is unpacked; a peer may send anything. */
const MAX_UNPACKED_BYTES = 16 * 1024 * 1024

type ChangeMessage = Extract<ShardMessage, { type: 'desiredChange' }>

/** A change as it travels: its queues are in `packedQueues`, and `queues` is empty. */
interface PackedChange extends DesiredChange {
  readonly packedQueues?: string
}

/** Keeps the packed form of a list of queues, since it is sent to many peers. */
const packed = new WeakMap<readonly QueueTerms[], string>()

/** Returns the message with packed queues, if they are many. */
export function packQueues (message: ChangeMessage): ChangeMessage {
  const { queues } = message.change
  if (queues.length < MIN_PACKED_QUEUES) return message
  const packedQueues = packed.get(queues) ?? deflateRawSync(JSON.stringify(queues)).toString('base64')
  packed.set(queues, packedQueues)
  const change: PackedChange = { ...message.change, queues: [], packedQueues }
  return { ...message, change }
}

/**
 * Returns the message as it was before it was packed. The fields of the queues have not been checked yet.
 * @throws {Error} for packed queues that cannot be unpacked
 */
export function unpackQueues (message: ChangeMessage): ChangeMessage {
  const { packedQueues, ...change } = (message.change ?? {}) as PackedChange
  if (typeof packedQueues !== 'string') return message
  const text = inflateRawSync(Buffer.from(packedQueues, 'base64'), { maxOutputLength: MAX_UNPACKED_BYTES }).toString('utf8')
  return { ...message, change: { ...change, queues: JSON.parse(text) as QueueTerms[] } }
}
