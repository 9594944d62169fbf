import { COLLECT_FAULTS, createByteBudget, createByteCollector } from '@laburnumshift/collect-bytes';
import fc from 'fast-check';
import test from 'ava';

const KIB = 1024;

test('collected bytes are those of the chunks in order, and a cleared collector is empty', (t) => {
  t.notThrows(() => {
    fc.assert(
      fc.property(fc.array(fc.uint8Array({ maxLength: 50 })), (parts) => {
        const budget = createByteBudget(KIB * KIB);
        const collector = createByteCollector({ maxBytes: 100 * KIB, reservation: budget.openReservation() });
        for (const part of parts) if (collector.addChunk(Buffer.from(part)) !== undefined) return false;
        const isSame = collector.getBytes().equals(Buffer.concat(parts));
        const isCounted = budget.countReserved() >= collector.countBytes();
        collector.clear();
        return isSame && isCounted && collector.countBytes() === 0 && budget.countReserved() === 0;
      }),
      { seed: 11 },
    );
  });
});

test('a body over its limit is not kept', (t) => {
  const collector = createByteCollector({
    maxBytes: 10,
    reservation: createByteBudget(KIB).openReservation(),
  });
  t.is(collector.addChunk(Buffer.alloc(10)), undefined);
  t.is(collector.addChunk(Buffer.alloc(1)), COLLECT_FAULTS.tooLong);
});

// Each chunk costs the same time, also one of a single byte.
test('a long body in chunks of one byte is not kept, and one in chunks of the size of a token is', (t) => {
  const collect = (chunkBytes: number, bytes: number): string | undefined => {
    const reservation = createByteBudget(KIB * KIB).openReservation();
    const collector = createByteCollector({ maxBytes: KIB * KIB, reservation });
    const chunk = Buffer.alloc(chunkBytes);
    for (let sent = 0; sent < bytes; sent += chunkBytes) {
      const fault = collector.addChunk(chunk);
      if (fault !== undefined) return fault;
    }
    return undefined;
  };
  t.is(collect(1, 4 * KIB), undefined);
  t.is(collect(1, 8 * KIB), COLLECT_FAULTS.tooSmallChunks);
  t.is(collect(16, 512 * KIB), undefined);
});

test('guards against bodies that take more memory together than their budget, and against memory that is not returned', (t) => {
  const budget = createByteBudget(100 * KIB);
  const reservations = Array.from({ length: 30 }, () => budget.openReservation());
  const collectors = reservations.map((reservation) =>
    createByteCollector({ maxBytes: 64 * KIB, reservation }),
  );
  const faults = collectors.map((collector) => collector.addChunk(Buffer.alloc(10 * KIB)));
  t.is(faults.filter((fault) => fault === undefined).length, 10);
  t.is(faults.filter((fault) => fault === COLLECT_FAULTS.noMemory).length, 20);
  t.true(budget.countReserved() <= 100 * KIB);
  for (const reservation of reservations) reservation.close();
  t.is(budget.countReserved(), 0);
  t.is(collectors[0]?.addChunk(Buffer.alloc(20 * KIB)), COLLECT_FAULTS.noMemory, 'the call has ended');
});
