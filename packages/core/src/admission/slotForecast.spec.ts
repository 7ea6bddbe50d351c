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

  it('holds few entries for tasks that ask for no CPU, however many wait', () => {
    const endpoints = Array.from({ length: 40 }, () => ({ freeCpuMilli: 32_000, ends: [{ at: ms(1100), cpuMilli: 16_000 }] }))
    const forecast = new SlotForecast(endpoints, 0, NOW)
    expect(forecast.entryCount).to.equal(41)
    for (let job = 0; job < 5000; job++) forecast.reserve({ tasks: 1 + job % 7, runMs: 50 + job % 300 })
    expect(forecast.entryCount).to.be.at.most(1025)
    expect(forecast.peek({ tasks: 1 })).to.equal(1000)
  })

  it('fills all slots several times for a job that is far wider than the fleet', () => {
    const forecast = new SlotForecast([{ freeCpuMilli: 20_000, ends: [] }], 10_000, NOW)
    expect(forecast.reserve({ tasks: 2000, runMs: 10 })).to.equal(1000 + 999 * 10)
    expect(forecast.peek({ tasks: 2 })).to.equal(1000 + 1000 * 10)
  })

  it('expects tasks first where they end first, and counts a start at a slow endpoint as a later one', () => {
    const endpoints = [{ freeCpuMilli: 10_000, ends: [], speed: 0.5 }, { freeCpuMilli: 0, ends: [{ at: ms(1050), cpuMilli: 10_000 }], speed: 2 }]
    const forecast = new SlotForecast(endpoints, 10_000, NOW)
    expect(forecast.reserve({ tasks: 1, runMs: 200 })).to.equal(1050 + 100 - 200)
    expect(forecast.reserve({ tasks: 1, runMs: 200 })).to.equal(1150 + 100 - 200)
    expect(forecast.peek({ tasks: 1, runMs: 20 })).to.equal(1020)
  })

  it('reports that tasks which fit no endpoint never start', () => {
    expect(new SlotForecast([{ freeCpuMilli: 5000, ends: [] }], 10_000, NOW).reserve({ tasks: 1, runMs: 50 })).to.equal(Infinity)
    expect(new SlotForecast([], 10_000, NOW).peek({ tasks: 1 })).to.equal(Infinity)
  })
})
