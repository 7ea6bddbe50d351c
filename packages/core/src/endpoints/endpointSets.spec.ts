import { expect } from 'chai'
import type { EndpointId } from '@cranberryyard/protocol'
import { EndpointSets } from './endpointSets.js'

const ids = (...names: string[]): EndpointId[] => names.map(name => name as EndpointId)

describe('EndpointSets, the sets of endpoints that an instance has held', () => {
  it('gives equal sets one digest in any order, and others another', () => {
    const digest = new EndpointSets().remember(ids('a', 'b', 'c'))
    expect(new EndpointSets().remember(ids('c', 'a', 'b'))).to.equal(digest)
    const others = [ids('a', 'b'), ids('a', 'b', 'd'), ids()].map(other => new EndpointSets().remember(other))
    expect(new Set([digest, ...others])).to.have.property('size', 4)
  })

  it('knows the sets that it held lately', () => {
    const sets = new EndpointSets()
    const first = sets.remember(ids('a', 'b'))
    const digests = Array.from({ length: 40 }, (_, n) => {
      sets.remember(ids('a', 'b'))
      return sets.remember(ids(`c-${n}`))
    })
    expect(sets.get(first)).to.deep.equal(new Set(ids('a', 'b')))
    expect(sets.get(digests.at(-1) ?? 0)).to.deep.equal(new Set(ids('c-39')))
    expect(sets.get(digests[0] ?? 0)).to.equal(undefined)
  })
})
