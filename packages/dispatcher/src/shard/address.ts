/**
 * Reads addresses that others write: endpoints and instances in the store, peers in their messages, the platform in the
 * settings. Code that opens connections accepts only what this module accepts, since Node and undici throw for a port out of
 * range or an invalid host instead of reporting a failed connection.
 */
import { isIPv4 } from 'node:net'

/** The IP address and port of a socket. */
export interface SocketAddress {
  readonly ip: string
  readonly port: number
}

const ADDRESS = /^([\d.]+):(\d{1,5})$/
const MAX_PORT = 65_535

/** Reads an IPv4 address with a port, as in `10.0.0.1:80`. The platform has no name lookups and no IPv6. @returns undefined for any other text */
export function parseAddress (text: string): SocketAddress | undefined {
  const [, ip = '', port = ''] = ADDRESS.exec(text) ?? []
  return isIPv4(ip) && isPort(Number(port)) ? { ip, port: Number(port) } : undefined
}

/** Returns whether a number is a port to which a connection can be opened. */
export function isPort (value: number): boolean {
  return Number.isInteger(value) && value >= 1 && value <= MAX_PORT
}
