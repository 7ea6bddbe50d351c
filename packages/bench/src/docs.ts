/**
 * `npm run docs`: writes the documentation pages that are generated from code into `docs/`. Rendering is a module of its own,
 * because a test renders the same pages and compares them with the files.
 */
import { writeFileSync } from 'node:fs'
import { RENDERED_PAGES } from './docs/render.js'

for (const [name, render] of Object.entries(RENDERED_PAGES)) writeFileSync(`docs/${name}`, render())
