/**
 * Renders line plots as SVG for the measurement report. Scales and paths come from d3; the rest is
 * assembled as text.
 */
import { scaleLinear } from 'd3-scale'
import { line } from 'd3-shape'

/** One line of a plot. */
export interface Series {
  readonly name: string
  readonly points: readonly { readonly x: number, readonly y: number }[]
}

/** Labels and lines of a plot. */
export interface PlotOptions {
  readonly title: string
  readonly xLabel: string
  readonly yLabel: string
  readonly series: readonly Series[]
}

const WIDTH = 480
const HEIGHT = 300
const MARGIN = { left: 56, right: 110, top: 32, bottom: 44 }
const COLOURS = ['#c0392b', '#e67e22', '#2471a3', '#1e8449']
const TICKS = 5

/**
 * Renders a plot with a legend; the y axis starts at 0.
 * @param options - title, labels and lines
 * @returns an SVG document
 */
export function renderPlot (options: PlotOptions): string {
  const points = options.series.flatMap(s => s.points)
  const x = scaleLinear().domain([Math.min(...points.map(p => p.x)), Math.max(...points.map(p => p.x))]).range([MARGIN.left, WIDTH - MARGIN.right])
  const y = scaleLinear().domain([0, Math.max(...points.map(p => p.y))]).nice().range([HEIGHT - MARGIN.bottom, MARGIN.top])
  const path = line<{ x: number, y: number }>().x(p => x(p.x)).y(p => y(p.y))
  const lines = options.series.map((s, i) => `<path d="${path([...s.points]) ?? ''}" fill="none" stroke="${colour(i)}" stroke-width="2"/>`)
  const legend = options.series.map((s, i) => text(WIDTH - MARGIN.right + 8, MARGIN.top + 16 * (i + 1), s.name, colour(i)))
  const xTicks = x.ticks(TICKS).map(t => text(x(t), HEIGHT - MARGIN.bottom + 16, String(t), '#444', 'middle'))
  const yTicks = y.ticks(TICKS).map(t => `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${y(t)}" y2="${y(t)}" stroke="#ddd"/>${text(MARGIN.left - 6, y(t) + 4, String(t), '#444', 'end')}`)
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="11">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    text(MARGIN.left, 18, options.title, '#000'),
    text((MARGIN.left + WIDTH - MARGIN.right) / 2, HEIGHT - 8, options.xLabel, '#444', 'middle'),
    ...yTicks,
    ...xTicks,
    ...lines,
    ...legend,
    '</svg>',
    ''
  ].join('\n')
}

function colour (i: number): string {
  return COLOURS[i % COLOURS.length] ?? '#000'
}

function text (x: number, y: number, content: string, fill: string, anchor = 'start'): string {
  return `<text x="${x}" y="${y}" fill="${fill}" text-anchor="${anchor}">${content}</text>`
}
