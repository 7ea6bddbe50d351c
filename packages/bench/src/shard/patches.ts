/**
 * Replaces methods of the shard decisions for all instances, and undoes it. Deliberate faults and variants of the decisions are
 * made in this way, so that the product needs no switches for them.
 */
import { SHARD_DEFAULTS, ShardInstance } from '@cranberryyard/core/shard'
import type { FailureDomain, InstanceId } from '@cranberryyard/protocol'

/** Restores the original method. */
export type Undo = () => void
export type Method = (...args: never[]) => unknown

/** An instance through which the prototypes of all decisions can be reached. */
export const sampleInstance = new ShardInstance({ self: { instance: 'sample' as InstanceId, incarnation: 1, failureDomain: 'sample' as FailureDomain, address: 'sample', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })

/**
 * Replaces a method for all objects that share the prototype of the given one.
 * @param object - any object of the class
 * @param method - name of the method
 * @param make - makes the replacement from the original
 */
export function replaceMethod<T extends object> (object: T, method: string, make: (original: Method) => (this: T, ...args: never[]) => unknown): Undo {
  const prototype = Object.getPrototypeOf(object) as Record<string, Method>
  const original = prototype[method] as Method
  prototype[method] = make(original) as Method
  return () => {
    prototype[method] = original
  }
}
