import { expect } from 'chai'
import type { FailureDomain, InstanceId, MemberEntry, PeerMessage } from '@cranberryyard/protocol'
import { decodeEnvelope, encodeEnvelope } from './peerCodec.js'

const ENTRY: MemberEntry = {
  instance: 'entry-1' as InstanceId,
  incarnation: 1_700_000_000_000,
  failureDomain: 'one' as FailureDomain,
  address: '127.0.0.1:1',
  heartbeat: 7,
  status: 'serving',
  versionInForce: 3,
  versionKnown: 4,
  claimsReadyEpoch: 2,
  backlog: 5
}

const MESSAGES: readonly PeerMessage[] = [
  { type: 'gossip', fleetVersion: 4, entries: [ENTRY, { ...ENTRY, status: 'leaving' }] },
  { type: 'gossip', fleetVersion: 4, entries: [] },
  { type: 'fleetRequest' },
  { type: 'claimsRequest', epoch: 1, buckets: [1, 2, 255] }
]

describe('peer codec', () => {
  for (const message of MESSAGES) {
    it(`round-trips ${JSON.stringify(message).slice(0, 60)}`, () => {
      const envelope = { from: 'entry-1' as InstanceId, message }
      expect(decodeEnvelope(encodeEnvelope(envelope))).to.deep.equal(envelope)
    })
  }

  it('decodes empty, foreign and malformed input to undefined', () => {
    const foreignInputs = [Buffer.alloc(0), Buffer.from('GET / HTTP/1.1'), Buffer.from([0xc1]), Buffer.from([0x92, 1, 2]), Buffer.from([0x92, 0xa1, 0x61, 0xc0])]
    expect(foreignInputs.map(decodeEnvelope)).to.deep.equal(foreignInputs.map(() => undefined))
  })

  it('encodes a gossip message with one entry in less than 80 bytes', () => {
    const encoded = encodeEnvelope({ from: ENTRY.instance, message: { type: 'gossip', fleetVersion: 4, entries: [ENTRY] } })
    expect(encoded.length).to.be.lessThan(80)
  })
})
