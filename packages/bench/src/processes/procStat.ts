/**
 * Reads processor time and resident memory of a process from `/proc/PID/stat` on Linux. The field numbers count from the
 * field after the command name, which may contain spaces and parentheses.
 */
import { readFileSync } from 'node:fs'

/** Clock ticks per second in the times that Linux reports in /proc. */
const TICKS_PER_SECOND = 100
const PAGE_BYTES = 4096
const UTIME_FIELD = 11
const STIME_FIELD = 12
const RSS_FIELD = 21

/** Resource usage of a process. */
export interface ProcessUsage {
  readonly cpuSeconds: number
  readonly residentMb: number
}

/**
 * Reads the resource usage of a process.
 * @param pid - id of a running process
 * @returns processor time since its start and resident memory now
 */
export function usageOf (pid: number): ProcessUsage {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ').map(Number)
  const ticks = (fields[UTIME_FIELD] ?? 0) + (fields[STIME_FIELD] ?? 0)
  return { cpuSeconds: ticks / TICKS_PER_SECOND, residentMb: (fields[RSS_FIELD] ?? 0) * PAGE_BYTES / 1_048_576 }
}
