/**
 * `npm run docs`: writes the pages that follow from code.
 */
import { writeFileSync } from 'node:fs'
import { RENDERED_PAGES } from './docs/render.js'

for (const [name, render] of Object.entries(RENDERED_PAGES)) writeFileSync(`docs/${name}`, render())
