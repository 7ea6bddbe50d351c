// Exports the part of the metrics library that the platform uses. The rest, which opens ports and collects figures about the
// process itself, stays out of the bundle.
export { default as Counter } from 'prom-client/lib/counter.js'
export { default as Gauge } from 'prom-client/lib/gauge.js'
export { default as Histogram } from 'prom-client/lib/histogram.js'
export { default as Registry } from 'prom-client/lib/registry.js'
