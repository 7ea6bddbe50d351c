/**
 * Public interface of the shard daemon: the process that runs the shard decisions of `core`, and the interfaces that a
 * platform adapter implements. Other packages import from here only, so that the tasks behind it can change freely.
 */
export { ShardDaemon } from './shardDaemon.js'
export type { ShardDaemonOptions } from './shardDaemon.js'
export { isShardMessage } from './messageCheck.js'
export { decodeEnvelope, encodeEnvelope } from '../peers/peerCodec.js'
export { ExactText } from '../peers/exactText.js'
export { isPort, parseAddress } from './address.js'
export type { SocketAddress } from './address.js'
export type * from './wires.js'
export { SHARD_HISTOGRAMS, metricName } from './metricsServer.js'
