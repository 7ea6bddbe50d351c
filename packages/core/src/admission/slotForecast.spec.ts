import { expect } from 'chai'
import { ms } from '@cranberryyard/protocol'
import { SlotForecast } from './slotForecast.js'

const NOW = ms(1000)

describe('the forecast of free slots', () => {
  it('starts tasks at once where endpoints have room for them, and later ones where runs end', () => {
    const endpoints = [
      { freeCpuMilli: 25_000, ends: [] },
      { freeCpuMilli: 0, ends: [{ at: ms(1200), cpuMilli: 10_000 }, { at: ms(1100), cpuMilli: 10_000 }] }
    ]
    expect(new SlotForecast(endpoints, 10_000, NOW).reserve({ tasks: 2, runMs: 50 })).to.equal(1000)
    // Both slots of the first endpoint are free again after 50 ms, before the first run of the other one ends.
    expect(new SlotForecast(endpoints, 10_000, NOW).reserve({ tasks: 3, runMs: 50 })).to.equal(1050)
    expect(new SlotForecast(endpoints, 10_000, NOW).reserve({ tasks: 3, runMs: 500 })).to.equal(1100)
  })

  it('adds up what several runs free at one endpoint until a task fits', () => {
    const endpoints = [{ freeCpuMilli: 4000, ends: [{ at: ms(1100), cpuMilli: 4000 }, { at: ms(1200), cpuMilli: 4000 }] }]
    expect(new SlotForecast(endpoints, 10_000, NOW).reserve({ tasks: 1, runMs: 50 })).to.equal(1200)
  })

  it('reserves slots for one job after the other', () => {
    const forecast = new SlotForecast([{ freeCpuMilli: 20_000, ends: [] }], 10_000, NOW)
    expect(forecast.peek({ tasks: 2 })).to.equal(1000)
    expect(forecast.reserve({ tasks: 2, runMs: 100 })).to.equal(1000)
    expect(forecast.peek({ tasks: 2 })).to.equal(1100)
    expect(forecast.reserve({ tasks: 2, runMs: 100 })).to.equal(1100)
  })

  it('reports that tasks which fit no endpoint never start', () => {
    expect(new SlotForecast([{ freeCpuMilli: 5000, ends: [] }], 10_000, NOW).reserve({ tasks: 1, runMs: 50 })).to.equal(Infinity)
    expect(new SlotForecast([], 10_000, NOW).peek({ tasks: 1 })).to.equal(Infinity)
  })
})
