/**
 * Public interface of the shard decisions, for the daemon and the benchmarks: an instance that answers callers and owns
 * endpoints under fencing tokens.
 */
export { ShardInstance } from './shardInstance.js'
export type { ShardInstanceOptions } from './shardInstance.js'
export { ENDPOINT_LIST_PERIODS_MS, RECORD_LIST_PERIODS_MS, SHARD_DEFAULTS, readsFresh } from './settings.js'
export type { ShardSettings } from './settings.js'
export { SHARD_COUNTERS, SHARD_GAUGES } from './counters.js'
export type { ShardCounterName, ShardGaugeName } from './counters.js'
export type { CallerReads, CallerReply, ClaimResult, ListPace, LogFields, RefusalCause, ShardEffect, ShardInput, ShardSelf } from './types.js'
export { seededRandom } from '../utils/random.js'
export { RunTimeModel } from '../execution/runTimes.js'
export { CONNECTION_BYTES, CONNECTION_DEFAULTS, ConnectionsDecider, DEFAULT_MACHINE, RECEIVE_BUFFER_BYTES, allowancesFor, backlogsFor, costOfPart } from '../connections/connectionsDecider.js'
export type { Allowance, CloseReason, Connection, ConnectionAllowances, ConnectionBacklogs, ConnectionPhase, MachineLimits } from '../connections/types.js'
export { TurnsDecider } from '../turns/turnsDecider.js'
export type { Turn } from '../turns/types.js'
