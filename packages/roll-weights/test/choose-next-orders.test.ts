import test from 'ava';
import { chooseNextOrders } from '../src/choose-next-orders.js';

const createOutdated = (id: string, version: number, isMarked = false) => ({
  engine: {
    id,
    service: 'models',
    address: '10.0.0.1:1',
    failureDomain: 'north',
    slots: 1,
    isDraining: false,
    bornMs: 1,
    versions: new Map([['m', version]]),
    orderMark: undefined,
  },
  model: 'm',
  version: 9,
  isMarked,
});
const listIds = (engines: Parameters<typeof chooseNextOrders>[0], activeCount: number): string[] =>
  chooseNextOrders(engines, activeCount, 6).map(({ engine }) => engine.id);

test('engines with the oldest weights are not passed over while versions follow each other quickly', (t) => {
  const engines = [createOutdated('a', 4), createOutdated('b', 3), createOutdated('c', 2)];
  t.deepEqual(listIds(engines, 0), ['c', 'b']);
});

test('marked engines are not left out of service, and no more than a third of the others are taken out', (t) => {
  const engines = [createOutdated('a', 2), createOutdated('b', 2), createOutdated('c', 4, true)];
  t.deepEqual(listIds(engines, 1), ['c', 'a']);
});
