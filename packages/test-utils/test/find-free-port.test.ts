import { findFreePort } from '@laburnumshift/test-utils';
import test from 'ava';

test.serial('guards against a port that is returned again before its host listens', async (t) => {
  const ports: number[] = [];
  for (let index = 0; index < 55; index += 1) {
    const first = await findFreePort(2);
    ports.push(first, first + 1);
  }
  t.is(new Set(ports).size, ports.length);
});

test.serial('guards against running out of ports after many calls', async (t) => {
  for (let index = 0; index < 400; index += 1) await findFreePort(2);
  t.pass();
});
