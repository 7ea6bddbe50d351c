import { expect } from 'chai'
import { AUDIT_ROOT_HASH, EMPTY_FLEET, ms } from '@cranberryyard/protocol'
import type { AuditEntry, AuditTail, ChangeId, EndpointId, InstanceId } from '@cranberryyard/protocol'
import { appendAudit, findBrokenEntry, trimAudit } from './auditChain.js'

function trailOf (count: number): AuditTail {
  let tail = EMPTY_FLEET.audit
  for (let i = 0; i < count; i++) {
    tail = appendAudit(tail, {
      changeId: `change-${i}` as ChangeId,
      contentHash: '',
      by: 'team/team',
      at: ms(i),
      instance: 'entry-1' as InstanceId,
      reason: `reason ${i}`,
      subject: { type: 'endpoint', endpoint: `e-${i}` as EndpointId },
      before: 'active',
      after: 'draining'
    })
  }
  return tail
}

const brokenEntryOf = (entries: readonly AuditEntry[]): number | undefined => findBrokenEntry(entries, AUDIT_ROOT_HASH, 0)

describe('the audit chain', () => {
  it('is unbroken in an unmodified trail', () => {
    expect(brokenEntryOf(trailOf(5).entries)).to.equal(undefined)
  })

  it('is broken where an entry was removed', () => {
    const { entries } = trailOf(5)
    expect(brokenEntryOf([...entries.slice(0, 2), ...entries.slice(3)])).to.equal(3)
  })

  it('is broken at an edited entry', () => {
    const entries = trailOf(5).entries.map(e => e.sequence === 2 ? { ...e, by: 'team/somebody-else' } : e)
    expect(brokenEntryOf(entries)).to.equal(2)
  })

  it('is unbroken after archived entries were trimmed', () => {
    const trimmed = trimAudit(trailOf(5), 3)
    expect(findBrokenEntry(trimmed.entries, trimmed.archivedHash, trimmed.archivedThrough)).to.equal(undefined)
    expect(trimmed.entries.map(e => e.sequence)).to.deep.equal([4, 5])
  })
})
