// The part of the HTTP client that the bundle needs: connection pools. The whole package doubles start-up time.
exports.Pool = require('undici/lib/dispatcher/pool.js')
