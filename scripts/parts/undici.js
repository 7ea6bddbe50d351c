// Exports the part of the HTTP client that the platform uses: connection pools. The whole package doubles the start-up time.
export { default as Pool } from 'undici/lib/dispatcher/pool.js'
