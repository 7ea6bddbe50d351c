import { expect } from 'chai'
import type { InstanceId } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { NewerVersions } from './newerVersions.js'

const [A, B, C] = ['a', 'b', 'c'] as InstanceId[] as [InstanceId, InstanceId, InstanceId]

function inForce (version: number): NewerVersions {
  const newer = new NewerVersions()
  newer.cameIntoForce(version, ms(0))
  return newer
}

describe('the newer versions that peers have named', () => {
  it('are new once', () => {
    const newer = inForce(3)
    expect([[A, 3], [A, 5], [B, 5], [B, 4], [C, 6]].map(([peer, version]) => newer.named(peer as InstanceId, version as number, ms(0), ms(100)))).to.deep.equal([false, true, false, false, true])
    expect([newer.newest.version, newer.lastNamedBy, newer.versionOf(B)]).to.deep.equal([6, C, 4])
  })

  it('replace the one in force since the earliest time that a peer has told, as long as one of them is heard of', () => {
    const newer = inForce(3)
    newer.named(A, 5, ms(100), ms(10_000))
    newer.named(B, 4, ms(600), ms(10_100))
    expect([newer.replacedFor(1000, ms(10_450)), newer.replacedFor(1000, ms(10_550))]).to.deep.equal([false, true])
    expect(newer.replacedFor(1000, ms(13_101)), 'heard of from nobody for 3 s').to.equal(false)
    newer.cameIntoForce(4, ms(13_200))
    newer.named(A, 5, ms(3300), ms(13_200))
    expect(newer.replacedFor(1000, ms(13_200))).to.equal(true)
    newer.cameIntoForce(5, ms(13_300))
    expect(newer.replacedFor(0, ms(13_300))).to.equal(false)
  })

  it('are asked for in turn, changes only of peers that answer requests for them', () => {
    const newer = inForce(1)
    for (const peer of [A, B, C]) newer.named(peer, peer === C ? 1 : 2, ms(0), ms(0))
    newer.setSendsChanges(A, true)
    newer.setSendsChanges(B, true)
    newer.setSendsChanges(B, false)
    expect([1, 2].map(() => newer.peerToAsk(B, true))).to.deep.equal([A, A])
    newer.cameIntoForce(1, ms(0))
    expect([1, 2, 3].map(() => newer.peerToAsk(A, false))).to.deep.equal([A, B, A])
    newer.setSendsChanges(A, false)
    expect(newer.peerToAsk(A, true)).to.equal(undefined)
  })
})
