import { expect } from 'chai'
import { execFileSync, spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { readFileSync, readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { RESULT_CODES, contractSchema, isNotRun, readToml, settingsSchema } from '@cranberryyard/protocol'
import { RENDERED_PAGES } from './render.js'

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))
const read = (path: string): string => readFileSync(`${ROOT}${path}`, 'utf8')
const CLI = `${ROOT}packages/cli/dist/main.js`

describe('pages that follow from code', () => {
  for (const [name, render] of Object.entries(RENDERED_PAGES)) {
    it(`${name} is as rendered; npm run docs writes it`, () => expect(read(`docs/${name}`)).to.equal(render()))
  }

  it('RESULT-CODES.md has a true row for every code', () => {
    const page = read('docs/RESULT-CODES.md')
    for (const [name, code] of Object.entries(RESULT_CODES)) {
      const row = page.split('\n').find(line => line.startsWith(`| ${code} | ${name} |`))
      expect(row, `${code} ${name}`).to.not.equal(undefined)
      if (isNotRun(code)) expect(row).to.match(/\| nothing ran \|/)
    }
  })
})

describe('examples', () => {
  for (const folder of ['bantay', 'office']) {
    it(`${folder} has correct contracts and settings`, () => {
      for (const file of readdirSync(`${ROOT}examples/${folder}/contracts`)) {
        expect(readToml(read(`examples/${folder}/contracts/${file}`), contractSchema).isOk, file).to.equal(true)
      }
      expect(readToml(read(`examples/${folder}/entry-1.toml`), settingsSchema).isOk).to.equal(true)
    })
  }
})

describe('settings with faults', () => {
  it('report all of them at once by key and line', () => {
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

/** A step is a fenced `sh` block, a line `# exit N`, and a line `# shows TEXT`. */
function stepsOf (page: string): LessonStep[] {
  const blocks = [...page.matchAll(/```sh lesson\n([\s\S]*?)```/g)].map(m => m[1] ?? '')
  return blocks.map(block => ({
    command: block.split('\n').filter(l => l !== '' && !l.startsWith('#')).join('\n'),
    exitCode: Number(/# exit (\d+)/.exec(block)?.[1] ?? 0),
    shows: /# shows (.*)/.exec(block)?.[1] ?? ''
  }))
}

/** Ports of this run; other runs on the machine use others. They lie between those of PortRange and those of connections. */
const LESSON_PORTS_FROM = 31_000
const LESSON_PORT_RANGE = 100
const LESSON_PORT_RANGES = 17
const lessonPort = LESSON_PORTS_FROM + (process.pid % LESSON_PORT_RANGES) * LESSON_PORT_RANGE

/** The page names the ports that `npm run local` has by default. */
function withLessonPorts (command: string): string {
  return command.replace(/127\.0\.0\.1:74(\d\d)/g, (_, offset: string) => `127.0.0.1:${lessonPort + Number(offset)}`)
}

describe('the lesson', function () {
  this.timeout(90_000)
  let local: ChildProcess

  before(async () => {
    local = spawn(process.execPath, [`${ROOT}packages/bench/dist/local.js`, '--base-port', String(lessonPort)], { cwd: ROOT, stdio: ['ignore', 'pipe', 'inherit'] })
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

  it('can be followed command by command', () => {
    const steps = stepsOf(read('docs/LESSON.md'))
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
