#!/usr/bin/env node
/**
 * Command `cranberryyardd`: runs one entry instance from a settings file, or a development environment with `--dev`.
 * Parses the arguments, reports faults in the settings, and shuts the daemon down on SIGTERM and SIGINT.
 */
import { readFileSync } from 'node:fs'
import process from 'node:process'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { readToml, renderFaults, settingsSchema } from '@cranberryyard/protocol'
import type { Settings } from '@cranberryyard/protocol'
import { Daemon } from './daemon.js'
import { startDevelopment } from './development.js'
import { checkFiles } from './settingsCheck.js'
import { enableDefaultLevels, log } from './utils/log.js'

/** Exit codes. `cutOff`: the daemon crashed, or it stopped before all requests in flight were finished. */
const EXIT = { ok: 0, cutOff: 1, badSettings: 2 } as const

const args = await yargs(hideBin(process.argv))
  .scriptName('cranberryyardd')
  .usage('$0 --settings FILE | --dev')
  .option('settings', { type: 'string', describe: 'Settings file (TOML)' })
  .option('check', { type: 'boolean', default: false, describe: 'Check the settings, report every fault, and exit' })
  .option('dev', { type: 'boolean', default: false, describe: 'In-memory platform and one sample endpoint; not for production use' })
  .example('$0 --settings entry-1.toml --check', 'Report all faults in the settings with key and line')
  .strict()
  .parse()

enableDefaultLevels()

if (args.dev) await runDevelopment()
else await runConfigured(args.settings, args.check)

async function runConfigured (file: string | undefined, checkOnly: boolean): Promise<void> {
  if (file === undefined) {
    console.error('cranberryyardd: either --settings FILE or --dev is required')
    process.exit(EXIT.badSettings)
  }
  const settings = loadSettings(file)
  if (checkOnly) {
    console.log(`${file}: settings are valid`)
    process.exit(EXIT.ok)
  }
  const daemon = new Daemon(settings)
  await daemon.start()
  stopOnSignal(daemon)
}

async function runDevelopment (): Promise<void> {
  const { daemon, notice } = await startDevelopment()
  console.log(notice)
  stopOnSignal(daemon)
}

function loadSettings (file: string): Settings {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch {
    console.error(`${file}: cannot read the settings file`)
    process.exit(EXIT.badSettings)
  }
  const settings = readToml(text, settingsSchema).andThen(checkFiles)
  if (settings.isOk) return settings.value
  console.error(renderFaults(file, settings.error))
  process.exit(EXIT.badSettings)
}

function stopOnSignal (daemon: Daemon): void {
  let stopping = false
  const stop = (): void => {
    if (stopping) return
    stopping = true
    void daemon.stop().then(clean => process.exit(clean ? EXIT.ok : EXIT.cutOff))
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  process.on('uncaughtException', (err) => {
    log.error('daemon.crashed', { message: err.stack ?? err.message })
    process.exit(EXIT.cutOff)
  })
}
