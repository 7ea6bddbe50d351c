/**
 * Public surface of the shard daemon: the process around core's shard decisions, and what a platform adapter provides.
 */
export { ShardDaemon } from './shardDaemon.js'
export type { ListenAddress, ShardDaemonOptions } from './shardDaemon.js'
export type * from './wires.js'
export { SHARD_HISTOGRAMS, metricName } from './metricsServer.js'
