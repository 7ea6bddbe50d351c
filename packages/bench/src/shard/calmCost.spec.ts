import { expect } from 'chai'
import type { InstanceId } from '@cranberryyard/protocol'
import { ShardFleet } from './shardFleet.js'

const DOMAINS = ['a', 'b', 'c', 'd', 'e']
const INSTANCES_PER_DOMAIN = 6
/** After this time, the instance with the most processor time in each domain owns its shard. */
const SETTLED_MS = 8000
const OBSERVED_MS = 5000

const domainOf = (instance: InstanceId): string => instance.split('-')[0] ?? ''

function settledFleet (): ShardFleet {
  const fleet = new ShardFleet({ domains: DOMAINS, instancesPerDomain: INSTANCES_PER_DOMAIN, endpointsPerDomain: 3, seed: 1 })
  fleet.run(SETTLED_MS)
  return fleet
}

describe('a settled fleet', () => {
  it('sends pings between domains only from shard owners', () => {
    const fleet = settledFleet()
    const pingPairs = new Set<string>()
    const crossDomainSenders = new Set<InstanceId>()
    fleet.onMessage = (from, to, { type }) => {
      if (type !== 'ping') return
      pingPairs.add(`${from}>${to}`)
      if (domainOf(from) !== domainOf(to)) crossDomainSenders.add(from)
    }
    fleet.run(OBSERVED_MS)
    expect(crossDomainSenders.size).to.be.at.most(DOMAINS.length)
    expect(pingPairs.size).to.be.at.most(DOMAINS.length * (INSTANCES_PER_DOMAIN - 1) + DOMAINS.length * (DOMAINS.length - 1))
  })

  it('sends jobs to other domains at once when the own domain is full, but not to a domain whose instances are all down', () => {
    const fleet = settledFleet()
    for (const name of ['b-0', 'b-1', 'b-2', 'b-3', 'b-4', 'b-5']) fleet.kill(name as InstanceId, OBSERVED_MS * 2)
    fleet.run(2000)
    const targets = new Set<string>()
    fleet.onMessage = (from, to, { type }) => {
      if (type === 'submit' && domainOf(from) !== domainOf(to)) targets.add(domainOf(to))
    }
    for (let i = 0; i < 60; i++) fleet.time.after(i * 10, () => fleet.submit('a-2' as InstanceId, 2, { cpuMilli: 16_000, workMs: 400, fails: false }))
    fleet.run(OBSERVED_MS)
    expect(fleet.oracle.violations).to.deep.equal([])
    expect([...targets].sort()).to.include.members(['c', 'd', 'e']).and.not.include('b')
  })
})
