/**
 * Order of work in Node's event loop, which runs timers before it reads sockets. After a delay of the process, a timer that is due knows
 * nothing of what has arrived meanwhile.
 */

/** Calls back when everything that has arrived was read: after the next turn of the event loop, which reads the end of a connection whose data the present turn has read. */
export function afterNextRead (callback: () => void): void {
  setImmediate(() => setImmediate(callback))
}
