import { expect } from 'chai'
import type { DesiredChange, InstanceId, QueueName, QueueTerms, ServiceName, ShardMessage } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { isShardMessage } from '../shard/messageCheck.js'
import { decodeEnvelope, encodeEnvelope } from './peerCodec.js'

const FROM = 'peer' as InstanceId

function queue (i: number): QueueTerms {
  return { name: `r-${i}` as QueueName, host: 'a.example', prefix: `/p${i}/`, service: 's' as ServiceName, priority: 0, maxAttempts: 3, stretch: 1.6, latencyObjectiveMs: ms(60), needsAdvice: false }
}

function changeOf (queues: readonly QueueTerms[]): { readonly type: 'desiredChange', readonly change: DesiredChange } {
  return { type: 'desiredChange', change: { from: 3, version: 4, queues, removed: [{ name: 'gone' as QueueName, host: 'a.example', prefix: '/gone/' }], services: [{ name: 's' as ServiceName, guardsCapacity: false }], digest: 17 } }
}

describe('a change of the desired state on its way between instances', () => {
  it('arrives as it was sent, with few and with many queues', () => {
    for (const count of [0, 1, 49, 50, 2000]) {
      const message = changeOf(Array.from({ length: count }, (_, i) => queue(i)))
      const arrived = decodeEnvelope(encodeEnvelope({ from: FROM, message }))?.message
      expect(arrived).to.deep.equal(message)
      expect(isShardMessage(arrived as ShardMessage)).to.equal(true)
    }
  })

  it('takes a tenth of the size of a whole state when it has many queues', () => {
    const queues = Array.from({ length: 2000 }, (_, i) => queue(i))
    const { services } = changeOf([]).change
    const whole = encodeEnvelope({ from: FROM, message: { type: 'desired', state: { version: 4, queues, services } } }).length
    expect(encodeEnvelope({ from: FROM, message: changeOf(queues) }).length).to.be.below(whole / 10)
  })

  it('keeps text that codecs change', () => {
    const odd = { ...queue(1), prefix: '\uFEFF/\uD800/', host: '\uFEFF' }
    for (const queues of [[odd], [...Array.from({ length: 60 }, (_, i) => queue(i)), odd]]) {
      const message = changeOf(queues)
      expect(decodeEnvelope(encodeEnvelope({ from: FROM, message }))?.message).to.deep.equal(message)
    }
  })

  it('is no envelope when its queues cannot be unpacked', () => {
    for (const packedQueues of ['', '!', Buffer.from('text').toString('base64')]) {
      const message = { type: 'desiredChange', change: { ...changeOf([]).change, packedQueues } } as unknown as ShardMessage
      expect(decodeEnvelope(encodeEnvelope({ from: FROM, message }))).to.equal(undefined)
    }
  })
})
