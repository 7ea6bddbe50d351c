// Mocha hook that skips the tests whose full titles KNOWN-RED.txt lists, and prints each of them. With KNOWN_RED=run it skips none.
import { readFileSync } from 'node:fs'

const KNOWN_RED_LIST = new URL('../KNOWN-RED.txt', import.meta.url)
const TEST_LINE = /^test: (.*)$/gm

const knownRedTitles = new Set([...readFileSync(KNOWN_RED_LIST, 'utf8').matchAll(TEST_LINE)].map(match => match[1].trim()))

export const mochaHooks = {
  beforeEach () {
    const title = this.currentTest.fullTitle()
    if (!knownRedTitles.has(title) || process.env.KNOWN_RED === 'run') return
    console.log(`      listed in KNOWN-RED.txt, skipped: ${title}`)
    this.skip()
  }
}
