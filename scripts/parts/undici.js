// Exports the parts of the HTTP client that the platform uses: connections and pools of them. The whole package doubles the start-up time.
export { default as Client } from 'undici/lib/dispatcher/client.js'
export { default as Pool } from 'undici/lib/dispatcher/pool.js'
export { default as buildConnector } from 'undici/lib/core/connect.js'
