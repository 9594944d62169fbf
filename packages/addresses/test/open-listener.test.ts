import net from 'node:net';
import { openListener, splitAddress } from '@laburnumshift/addresses';
import test from 'ava';

test('an address with brackets is taken apart as the runtime wants it', (t) => {
  t.deepEqual(splitAddress('10.0.0.1:80'), { host: '10.0.0.1', port: 80 });
  t.deepEqual(splitAddress('[::1]:80'), { host: '::1', port: 80 });
});

test('a port that is taken rejects', async (t) => {
  const first = net.createServer();
  const second = net.createServer();
  t.teardown(() => {
    first.close();
  });
  await openListener(first, '127.0.0.1:0');
  const { port } = first.address() as net.AddressInfo;
  const error = await t.throwsAsync(openListener(second, `127.0.0.1:${String(port)}`));
  t.is((error as NodeJS.ErrnoException).code, 'EADDRINUSE');
});
