/**
 * A TCP link that can be cut and healed. While it is cut, bytes are held up in both directions and nothing is answered, as
 * behind a partition; afterwards they arrive. New connections made during the cut wait for its end.
 */
import { connect, createServer } from 'node:net'

export class Link {
  #cut = false
  #pairs = new Set()
  #waiting = []
  #server

  /** Listens on the address and leads to `target`. */
  async listen (ip, target) {
    const [host, port] = target.split(':')
    this.#server = createServer({ allowHalfOpen: false }, (near) => {
      near.on('error', () => {})
      const open = () => {
        if (near.destroyed) return
        const far = connect(Number(port), host)
        const pair = { near, far }
        this.#pairs.add(pair)
        far.on('error', () => near.destroy())
        near.once('close', () => far.destroy())
        far.once('close', () => {
          this.#pairs.delete(pair)
          near.destroy()
        })
        near.pipe(far)
        far.pipe(near)
      }
      if (this.#cut) this.#waiting.push(open)
      else open()
    })
    await new Promise(resolve => this.#server.listen(0, ip, resolve))
    this.address = `${ip}:${this.#server.address().port}`
  }

  /** Lets nothing through until `heal`. */
  cut () {
    this.#cut = true
    for (const { near, far } of this.#pairs) {
      near.unpipe(far)
      far.unpipe(near)
      near.pause()
      far.pause()
    }
  }

  heal () {
    this.#cut = false
    for (const { near, far } of this.#pairs) {
      near.pipe(far)
      far.pipe(near)
    }
    for (const open of this.#waiting.splice(0)) open()
  }

  close () {
    for (const { near, far } of this.#pairs) {
      near.destroy()
      far.destroy()
    }
    return new Promise(resolve => this.#server.close(resolve))
  }
}
