/**
 * Has the garbage collector free the pieces of large bodies soon. The bytes of a piece lie outside the heap, so thousands of pieces look small to the
 * collector, which lets more than 100 MB of them pile up before it acts: on a small machine, that is more than there is.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Smaller pieces are few bytes beside the objects that they come with, and collected in time. */
const LARGE_PIECE_BYTES = 4096
/** Bytes of large pieces after which the young objects are collected. */
const BYTES_PER_COLLECTION = 4_194_304

type CollectGarbage = (options: { readonly type: 'minor' }) => void

let bytesSinceCollection = 0
let collectGarbage: CollectGarbage | undefined

/** Counts a piece that has arrived. */
export function countPiece (bytes: number): void {
  if (bytes < LARGE_PIECE_BYTES) return
  bytesSinceCollection += bytes
  if (bytesSinceCollection < BYTES_PER_COLLECTION) return
  bytesSinceCollection = 0
  collectGarbage ??= exposeCollector()
  collectGarbage({ type: 'minor' })
}

/** The collector is exposed when a crowd first calls for it: without crowds, it stays as it is. */
function exposeCollector (): CollectGarbage {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as CollectGarbage
}
