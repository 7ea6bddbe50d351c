/**
 * Public API of the protocol package: ids, result codes, schemas and message types that the other packages share. It contains
 * no dispatch logic, so that clients and test doubles can depend on it alone.
 */
export * from './ids.js'
export * from './clock.js'
export * from './resultCodes.js'
export * from './callerApi.js'
export * from './endpointApi.js'
export * from './contract.js'
export * from './fleet.js'
export * from './peerMessages.js'
export * from './dispatch.js'
export * from './shardMessages.js'
export * from './settings.js'
export * from './tomlFile.js'
