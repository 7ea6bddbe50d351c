/**
 * A TCP link that can be cut, so that connections are reset and new ones refused, and healed.
 */
import { connect, createServer } from 'node:net'

export class Link {
  #pairs = new Set()
  #server
  #port = 0
  #ip

  /** Listens on the address and leads to `target`. */
  async listen (ip, target) {
    const [host, port] = target.split(':')
    this.#ip = ip
    this.#server = createServer((near) => {
      const far = connect(Number(port), host)
      const pair = { near, far }
      this.#pairs.add(pair)
      near.on('error', () => {})
      far.on('error', () => {})
      near.once('close', () => far.destroy())
      far.once('close', () => {
        this.#pairs.delete(pair)
        near.destroy()
      })
      near.pipe(far)
      far.pipe(near)
    })
    await this.heal()
    this.#port = this.#server.address().port
    this.address = `${ip}:${this.#port}`
  }

  /** Resets the connections and refuses new ones until `heal`. */
  async cut () {
    const closed = new Promise(resolve => this.#server.close(resolve))
    this.#reset()
    await closed
  }

  /** Takes connections. */
  heal () {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#port, this.#ip, () => {
        this.#server.removeListener('error', reject)
        resolve()
      })
    })
  }

  close () {
    const closed = new Promise(resolve => this.#server.close(resolve))
    this.#reset()
    return closed
  }

  #reset () {
    for (const { near, far } of [...this.#pairs]) {
      near.resetAndDestroy()
      far.destroy()
    }
  }
}
