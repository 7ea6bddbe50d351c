/**
 * State of the connections decision: the open connections of one kind and what they hold in total. `ConnectionsDecider` makes all decisions.
 */
import type { Connection } from './types.js'

/** The open connections of one kind. */
export class ConnectionsDb {
  readonly open = new Set<Connection>()
  /** Bytes held for all connections, without the fixed cost of each. */
  bytes = 0

  add (connection: Connection): void {
    this.open.add(connection)
  }

  /** Sets what is held for a connection; one that has been removed holds nothing. */
  setBytes (connection: Connection, bytes: number): void {
    if (!this.open.has(connection)) return
    this.bytes += bytes - connection.bytes
    connection.bytes = bytes
  }

  remove (connection: Connection): void {
    if (this.open.delete(connection)) this.bytes -= connection.bytes
  }
}
