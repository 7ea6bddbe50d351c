/** Public surface of the stand-ins. Private to this repository; not for use. */
export * from './storeModel.js'
export * from './endpointModel.js'
export * from './endpointFake.js'
export * from './platformFake.js'
export * from './faultProxy.js'
export * from './fencedEndpointModel.js'
export * from './recordStoreModel.js'
