// The part of the metrics library that the bundle needs; the rest opens ports and reads the process's own figures.
export { default as Counter } from 'prom-client/lib/counter.js'
export { default as Histogram } from 'prom-client/lib/histogram.js'
export { default as Registry } from 'prom-client/lib/registry.js'
