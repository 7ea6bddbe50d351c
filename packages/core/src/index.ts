/**
 * Public API of core: `Instance`, which makes all decisions of an entry instance, its counterpart for instances that own
 * shards of endpoints, and the pure rules that the command line also uses. Nothing in this package does I/O.
 */
export { Instance } from './instance/instance.js'
export type { InstanceOptions } from './instance/instance.js'
export type * from './instance/types.js'
export type * from './instance/status.js'
export { COUNTERS } from './instance/context.js'
export { applyMutation, changedSections, findChange } from './contracts/mutations.js'
export { findActor, actorName, findContract, endpointOrderOf } from './contracts/changeRules.js'
export { findBrokenEntry, auditHash } from './contracts/auditChain.js'
export type { Actor, Mutation } from './contracts/types.js'
export { CHART_NAMES, readChart } from './utils/chart.js'
export type { ChartFile, ChartName } from './utils/chart.js'
export { sample } from './utils/random.js'
export type { Random } from './utils/random.js'
export { bucketOf, holdersOf } from './deduplication/deduplicationDb.js'
export * from './shard/index.js'
export { checkContract, contractDifferences, repeatedCustomers } from './configCheck/contractChecks.js'
export { checkDesiredState, checkVersion, differencesOf } from './configCheck/queueChecks.js'
export type { Difference, Finding, FindingCode } from './configCheck/types.js'
