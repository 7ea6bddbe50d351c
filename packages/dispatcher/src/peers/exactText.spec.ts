import { expect } from 'chai'
import { ExactText } from './exactText.js'

const exactText = new ExactText()
const MARKED = '\uFEFFspec'
const UNPAIRED = 'a\ud800"\u00e9\n'

describe('ExactText, which carries text that MessagePack changes', () => {
  it('finds such strings at any place, and no others', () => {
    const message = { type: 'submit', job: { spec: MARKED, steps: [{ label: 'r' }, { label: UNPAIRED }] }, pair: '\ud83d\ude00', inside: `a${MARKED}` }
    expect(exactText.collect(message).map(([path]) => path)).to.deep.equal([['job', 'spec'], ['job', 'steps', 1, 'label']])
    expect(exactText.collect(message).every(([, literal]) => /^[ -~]+$/.test(literal))).to.equal(true)
  })

  it('puts them back', () => {
    const message = { job: { spec: MARKED, steps: [{ label: UNPAIRED }] } }
    const changed = { job: { spec: 'spec', steps: [{ label: 'a' }] } }
    exactText.restore(changed, exactText.collect(message))
    expect(changed).to.deep.equal(message)
  })

  it('ignores patches that do not name a string of the message', () => {
    const message = { type: 'ping', nested: { list: ['a'] } }
    const before = structuredClone(message)
    const odd: unknown[] = [undefined, 7, [7], [[]], [[[], '"x"']], [[['__proto__', 'toString'], '"x"']], [[['nested'], '"x"']], [[['nested', 'list', 1], '"x"']], [[['missing', 'type'], '"x"']], [[['type'], 'no literal']], [[['type'], '7']], [[['type']]]]
    for (const patches of odd) exactText.restore(message, patches)
    expect(message).to.deep.equal(before)
    expect(({} as { x?: string }).x).to.equal(undefined)
  })
})
