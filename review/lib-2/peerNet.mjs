/**
 * The network between the machines: a proxy in front of each machine's peer port. Which machine opened a connection is read from its
 * first message, which names the sender. A machine that is cut off exchanges no bytes with any other one; connections stay open.
 */
import { connect, createServer } from 'node:net'

/** Reads the sender of a MessagePack envelope, an array that begins with its name. */
function senderOf (bytes) {
  if (bytes.length < 2 || bytes[0] >> 4 !== 9 || bytes[1] >> 5 !== 5) return undefined
  return bytes.toString('latin1', 2, 2 + (bytes[1] & 31))
}

export class PeerNet {
  cutOff = new Set()
  servers = []

  /** Forwards connections from a proxy's address to a machine's peer port. */
  async add (name, from, to) {
    const server = createServer((socket) => {
      let sender
      let out
      const held = []
      const isCut = () => this.cutOff.has(name) || this.cutOff.has(sender)
      socket.on('data', (chunk) => {
        sender ??= senderOf(chunk)
        if (isCut()) return held.push(chunk)
        for (const earlier of held.splice(0)) forward(earlier)
        forward(chunk)
      })
      const forward = (chunk) => {
        if (out === undefined) {
          out = connect(to.port, to.ip)
          out.on('data', answer => isCut() || socket.write(answer))
          out.on('error', () => socket.destroy())
          out.on('close', () => isCut() || socket.destroy())
        }
        out.write(chunk)
      }
      // A probe finds out at once whether the machine listens, since a refused connection must be refused here too.
      const probe = this.cutOff.has(name) ? undefined : connect(to.port, to.ip, () => probe.destroy())
      probe?.on('error', () => isCut() || socket.resetAndDestroy())
      socket.on('error', () => {})
      socket.on('close', () => isCut() || out?.destroy())
    })
    this.servers.push(server)
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(from.port, from.ip, resolve)
    })
  }

  close () {
    for (const server of this.servers) server.close()
  }
}
