import { expect } from 'chai'
import { parseAddress } from './address.js'

describe('addresses that others write', () => {
  it('are an IPv4 address and a port, and nothing else', () => {
    expect(parseAddress('10.0.0.1:80')).to.deep.equal({ ip: '10.0.0.1', port: 80 })
    expect(parseAddress('255.255.255.255:65535')).to.deep.equal({ ip: '255.255.255.255', port: 65_535 })
    const odd = ['', ':', '10.0.0.1', '10.0.0.1:', '10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:99999', '10.0.0.1:-1', '10.0.0.1:8e1', '10.0.0.1:text', '10.0.0.1:80 ', '10.0.0.1:80\n', ' 10.0.0.1:80', '10.0.0.1:80/x', '10.0.0.1:80:80', '256.0.0.1:80', '10.1:80', 'localhost:80', 'u@10.0.0.1:80', '[::1]:80', '[::1', '::1:80']
    expect(odd.filter(text => parseAddress(text) !== undefined)).to.deep.equal([])
  })
})
