// The part of the metrics library that the bundle needs; the rest opens ports and reads the process's own figures.
exports.Registry = require('prom-client/lib/registry')
exports.Counter = require('prom-client/lib/counter')
exports.Histogram = require('prom-client/lib/histogram')
