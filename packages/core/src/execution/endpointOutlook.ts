/**
 * Estimates when the runs at an endpoint end and free their capacity, from their expected run time and their reported
 * progress. Admission forecasts from it when waiting tasks can start.
 */
import type { Ms, Resources } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { EndpointOutlook } from '../admission/slotForecast.js'
import { freeCapacityOf, isCold } from '../endpoints/endpointsDb.js'
import type { RunTail } from '../speeds/runTail.js'
import type { SpeedsDecider } from '../speeds/speedsDecider.js'
import type { LedgerEndpoint, LedgerRun } from '../endpoints/types.js'

/** Progress from which the remaining time is projected from it, and not from the expected run time. */
const PROJECTION_MIN_PERCENT = 20
/** Time until a stopped run has been listed as ended. */
const STOP_MS = 50

/**
 * @param endpoint - a usable endpoint
 * @param now - the time
 * @param unclaimedMs - how long a run that no job claims is kept
 * @param speeds - how fast endpoints are, and how runs go on that are over their time
 * @param needs - what the tasks need that are to start there; if memory or accelerators limit their number there and not CPU, the
 * outlook is that of the scarce one, as the amount of CPU that the tasks would use with it
 */
export function outlookOf (endpoint: LedgerEndpoint, now: Ms, unclaimedMs: Ms, speeds: SpeedsDecider, needs?: Resources): EndpointOutlook {
  const { capacity } = endpoint.report
  const { resource, cpuPerUnit } = scarcest(capacity, needs)
  return {
    freeCpuMilli: freeCapacityOf(endpoint)[resource] * cpuPerUnit,
    ends: [...endpoint.runs.values()].map(run => ({ at: endOf(run, now, unclaimedMs, speeds.tail), cpuMilli: (run.exclusive ? capacity : run.needs ?? capacity)[resource] * cpuPerUnit })),
    speed: speeds.speedOf(endpoint.report),
    ...isCold(endpoint, now) ? { oneAtATime: true } : {}
  }
}

/** @returns the resource of which the endpoint has enough for the fewest tasks, and the CPU that tasks use with a unit of it */
function scarcest (capacity: Resources, needs: Resources | undefined): { readonly resource: keyof Resources, readonly cpuPerUnit: number } {
  let scarce: { readonly resource: keyof Resources, readonly cpuPerUnit: number } = { resource: 'cpuMilli', cpuPerUnit: 1 }
  if (needs === undefined || needs.cpuMilli <= 0) return scarce
  let least = capacity.cpuMilli / needs.cpuMilli
  for (const resource of ['memoryMb', 'accelerators'] as const) {
    const tasks = needs[resource] > 0 ? capacity[resource] / needs[resource] : Infinity
    if (tasks >= least) continue
    least = tasks
    scarce = { resource, cpuPerUnit: needs.cpuMilli / needs[resource] }
  }
  return scarce
}

function endOf (run: LedgerRun, now: Ms, unclaimedMs: Ms, tail: RunTail): Ms {
  if (run.state === 'stopping') return ms(now + STOP_MS)
  if (run.expectedMs === undefined) return ms(Math.max(now, run.startedAt + unclaimedMs))
  const observedPercent = run.percent - (run.foundPercent ?? 0)
  const isProjected = observedPercent >= PROJECTION_MIN_PERCENT
  const projectedMs = isProjected ? (run.percentAt - run.startedAt) * (100 - (run.foundPercent ?? 0)) / observedPercent : run.expectedMs
  const age = isProjected ? 1 : (now - run.startedAt) / Math.max(1, run.expectedMs)
  return ms(Math.max(run.startedAt + projectedMs, now + run.expectedMs * tail.remaining(age)))
}
