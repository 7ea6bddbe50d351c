// Copies the state charts and other JSON data next to the compiled code that reads them, because the compiler does not copy them.
import { cpSync, existsSync, readdirSync } from 'node:fs'
import { join } from 'node:path'

for (const name of readdirSync('packages')) {
  const src = join('packages', name, 'src', 'charts')
  if (existsSync(src)) cpSync(src, join('packages', name, 'dist', 'charts'), { recursive: true })
}
