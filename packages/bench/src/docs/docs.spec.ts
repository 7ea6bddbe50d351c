/**
 * Checks that documentation and examples agree with the code: generated pages match their rendering, the examples are valid,
 * and every command of the lesson runs against a local fleet and prints what the page says.
 */
import { expect } from 'chai'
import { execFileSync, spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { readFileSync, readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { RESULT_CODES, contractSchema, isNotRun, readToml, settingsSchema } from '@cranberryyard/protocol'
import { RENDERED_PAGES } from './render.js'

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))
const readRepositoryFile = (path: string): string => readFileSync(`${ROOT}${path}`, 'utf8')
const CLI = `${ROOT}packages/cli/dist/main.js`

describe('documentation pages that are generated from code or list its result codes', () => {
  for (const [name, render] of Object.entries(RENDERED_PAGES)) {
    it(`${name} matches its rendering (npm run docs rewrites it)`, () => expect(readRepositoryFile(`docs/${name}`)).to.equal(render()))
  }

  it('RESULT-CODES.md has a row for every code and marks the codes after which nothing ran', () => {
    const page = readRepositoryFile('docs/RESULT-CODES.md')
    for (const [name, code] of Object.entries(RESULT_CODES)) {
      const row = page.split('\n').find(line => line.startsWith(`| ${code} | ${name} |`))
      expect(row, `${code} ${name}`).to.not.equal(undefined)
      if (isNotRun(code)) expect(row).to.match(/\| nothing ran \|/)
    }
  })
})

describe('example configurations', () => {
  for (const folder of ['bantay', 'office']) {
    it(`${folder} has valid contracts and settings`, () => {
      for (const file of readdirSync(`${ROOT}examples/${folder}/contracts`)) {
        expect(readToml(readRepositoryFile(`examples/${folder}/contracts/${file}`), contractSchema).isOk, file).to.equal(true)
      }
      expect(readToml(readRepositoryFile(`examples/${folder}/entry-1.toml`), settingsSchema).isOk).to.equal(true)
    })
  }
})

describe('a settings file with several faults', () => {
  it('is rejected with the key and line of every fault at once', () => {
    const text = '[instance]\nid = "Entry 1"\nfailureDomain = "one"\n\n[listen]\ncallerPort = 99999\noperatorPort = 2\npeerPort = 3\nspeed = 1\n'
    const faults = readToml(text, settingsSchema).match({ Ok: () => [], Err: e => [...e] })
    expect(faults.map(f => [f.key, f.line])).to.have.deep.members([['instance.id', 2], ['listen.callerPort', 6], ['listen.speed', 9]])
  })
})

interface LessonStep {
  readonly command: string
  readonly exitCode: number
  readonly shows: string
}

/**
 * Parses the steps of the lesson. Each is a fenced `sh lesson` block with optional lines `# exit N` (expected exit code, 0 by
 * default) and `# shows TEXT` (expected part of the output).
 */
function parseLessonSteps (page: string): LessonStep[] {
  const blocks = [...page.matchAll(/```sh lesson\n([\s\S]*?)```/g)].map(m => m[1] ?? '')
  return blocks.map(block => ({
    command: block.split('\n').filter(l => l !== '' && !l.startsWith('#')).join('\n'),
    exitCode: Number(/# exit (\d+)/.exec(block)?.[1] ?? 0),
    shows: /# shows (.*)/.exec(block)?.[1] ?? ''
  }))
}

/**
 * Port range of this run, chosen by process id so that concurrent runs on the machine mostly use different ports. The ranges lie above
 * those of `PortRange` and below those that the system hands out for connections.
 */
const LESSON_FIRST_PORT = 31_000
const PORTS_PER_LESSON_RUN = 100
const LESSON_RANGE_COUNT = 17
const lessonBasePort = LESSON_FIRST_PORT + (process.pid % LESSON_RANGE_COUNT) * PORTS_PER_LESSON_RUN

/** Replaces the default ports of `npm run local`, which the page names, by those of this run. */
function withLessonPorts (command: string): string {
  return command.replace(/127\.0\.0\.1:74(\d\d)/g, (_, offset: string) => `127.0.0.1:${lessonBasePort + Number(offset)}`)
}

describe('the lesson in LESSON.md', function () {
  this.timeout(90_000)
  let local: ChildProcess

  before(async () => {
    local = spawn(process.execPath, [`${ROOT}packages/bench/dist/local.js`, '--base-port', String(lessonBasePort)], { cwd: ROOT, stdio: ['ignore', 'pipe', 'inherit'] })
    await new Promise<void>((resolve, reject) => {
      local.stdout?.on('data', chunk => String(chunk).includes('ready') && resolve())
      local.once('exit', code => reject(new Error(`the local run ended with ${code}`)))
    })
  })

  after(async () => {
    local.removeAllListeners('exit')
    const ended = new Promise(resolve => local.once('exit', resolve))
    local.kill('SIGTERM')
    await ended
  })

  it('gives the stated exit code and output for every command', () => {
    const steps = parseLessonSteps(readRepositoryFile('docs/LESSON.md'))
    expect(steps.length).to.be.greaterThan(8)
    for (const step of steps) {
      const { code, output } = runShell(withLessonPorts(step.command))
      expect(code, `${step.command}\n${output}`).to.equal(step.exitCode)
      expect(output, step.command).to.include(step.shows)
    }
  })
})

function runShell (command: string): { code: number, output: string } {
  const script = `cranberryyard() { "${process.execPath}" "${CLI}" "$@"; }\n${command}\n`
  try {
    return { code: 0, output: execFileSync('bash', ['-c', `${script.trimEnd()} 2>&1`], { cwd: ROOT, encoding: 'utf8' }) }
  } catch (err) {
    const failed = err as { status: number, stdout: string }
    return { code: failed.status, output: failed.stdout }
  }
}
