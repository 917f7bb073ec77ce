import {expect} from 'chai';
import {ByteCollector} from '../src/index.js';

const KIBIBYTE = 1024;

// Guards against parts whose objects and buffers take many times their size.
describe('collected bytes', () => {
  for (const size of [1, 7, 4096, 100_000]) {
    it(`take memory in proportion: parts of ${size} bytes`, () => {
      const collector = new ByteCollector(Infinity, size > 4096);
      const expected: Buffer[] = [];
      for (let number = 0; collector.length < 300_000; number += 1) {
        const part = Buffer.alloc(size, number);
        expected.push(part);
        collector.add(part);
      }
      const {length, allocatedBytes} = collector;
      expect(allocatedBytes).to.be.within(length, length + 64 * KIBIBYTE);
      expect(collector.take().equals(Buffer.concat(expected))).to.equal(true);
      expect(collector.allocatedBytes).to.equal(0);
    });
  }

  it('take no more than is expected', () => {
    const collector = new ByteCollector(10);
    collector.add(Buffer.from('question'));
    expect(collector.allocatedBytes).to.equal(10);
    expect(collector.take().toString()).to.equal('question');
  });

  it('keep the order of large parts between small ones', () => {
    const collector = new ByteCollector(Infinity, true);
    const parts = ['a', 'b'.repeat(40_000), 'c', 'd'.repeat(40_000)];
    for (const part of parts) collector.add(Buffer.from(part));
    expect(collector.take().toString()).to.equal(parts.join(''));
  });
});
