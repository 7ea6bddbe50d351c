/** Public API of the dispatcher package: the daemon as a library, for the command line and for tests. */
export { Daemon } from './daemon.js'
export type { BoundPorts } from './daemon.js'
export { startDevelopment } from './development.js'
export type { Development } from './development.js'
export { hashKey, newKey } from './utils/keys.js'
export { GAUGES, TIMELINESS_COUNTERS } from './metrics/metricsTask.js'
