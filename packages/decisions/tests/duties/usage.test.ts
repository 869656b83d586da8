import { describe } from '@jujubecroft/testing';
import type { InstanceId, OrganisationId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { DutyNotes, InstanceUsage } from '../../src/index.js';
import {
  decideUsage,
  NO_NOTES,
  UsageCollector,
  UsageLedger,
  withReported,
} from '../../src/index.js';

const A = brand<InstanceId>('entry-a');
const B = brand<InstanceId>('entry-b');
const SHOP = brand<OrganisationId>('shop');
const FARM = brand<OrganisationId>('farm');
const WINDOW_MS = 5000;
const REPORT_DUE_MS = 10_000;
const WINDOW = 100;
const WINDOW_END_MS = (WINDOW + 1) * WINDOW_MS;

function usageReport(
  instance: InstanceId,
  shop: number,
  overrides: Partial<InstanceUsage> = {},
): InstanceUsage {
  return {
    instance,
    incarnation: 1,
    asOfMs: WINDOW_END_MS,
    windows: [{ window: WINDOW, counts: { [SHOP]: shop } }],
    ...overrides,
  };
}

function decide(
  collector: UsageCollector,
  afterMs: number,
  notes: DutyNotes = { ...NO_NOTES, reportedThrough: WINDOW - 1 },
  knownDecidedThrough = -1,
): DutyNotes {
  return decideUsage(notes, {
    nowUnixMs: WINDOW_END_MS + afterMs,
    windowMs: WINDOW_MS,
    lateMs: REPORT_DUE_MS,
    heldForMs: REPORT_DUE_MS,
    live: [A, B],
    collector,
    knownDecidedThrough,
  });
}

describe('UsageLedger', ({ it }) => {
  it('counts a request once, in the window in which it first started', t => {
    const ledger = new UsageLedger(WINDOW_MS);
    const request = { organisation: SHOP };
    ledger.onStarted(request, WINDOW_END_MS - 1);
    ledger.onStarted(request, WINDOW_END_MS + 1);
    ledger.onStarted({ organisation: SHOP }, WINDOW_END_MS);
    ledger.onStarted({ organisation: FARM }, WINDOW_END_MS);
    t.deepEqual(ledger.countsAfter(WINDOW - 1), [
      { window: WINDOW, counts: { [SHOP]: 1 } },
      { window: WINDOW + 1, counts: { [SHOP]: 1, [FARM]: 1 } },
    ]);
  });

  it('does not count requests without an organisation', t => {
    const ledger = new UsageLedger(WINDOW_MS);
    ledger.onStarted({ organisation: null }, WINDOW_END_MS);
    t.deepEqual(ledger.countsAfter(0), []);
  });

  it('keeps a bounded number of windows', t => {
    const ledger = new UsageLedger(WINDOW_MS);
    Array.from({ length: 40 }, (_, window) => {
      ledger.onStarted({ organisation: SHOP }, window * WINDOW_MS);
    });
    t.is(ledger.countsAfter(-1).length, 8);
  });
});

describe('UsageCollector', ({ it }) => {
  // Guards against counts that change with lost, duplicate or reordered messages.
  it('sums the latest counts of each incarnation of each instance', t => {
    const collector = new UsageCollector();
    collector.onUsage(usageReport(A, 3));
    collector.onUsage(usageReport(A, 7));
    collector.onUsage(usageReport(A, 5));
    collector.onUsage(usageReport(B, 10));
    collector.onUsage(usageReport(B, 4, { incarnation: 2 }));
    t.deepEqual(collector.usageOf(WINDOW).counts, { [SHOP]: 21 });
  });

  it('discards windows up to the given one', t => {
    const collector = new UsageCollector();
    collector.onUsage(usageReport(A, 3));
    collector.discardThrough(WINDOW);
    t.deepEqual(collector.usageOf(WINDOW).counts, {});
  });
});

describe('decideUsage', ({ it }) => {
  it('begins with the window in which the fleet started', t => {
    const notes = decide(new UsageCollector(), 100, NO_NOTES);
    t.is(notes.reportedThrough, WINDOW);
  });

  it('waits for the counts of all live instances', t => {
    const collector = new UsageCollector();
    collector.onUsage(usageReport(A, 3));
    t.is(decide(collector, 2000).decided.length, 0);
    collector.onUsage(usageReport(B, 4));
    t.deepEqual(decide(collector, 2000).decided, [
      { window: WINDOW, counts: { [SHOP]: 7 } },
    ]);
  });

  // Guards against a window that is never reported because one instance is cut off.
  it('stops waiting for a silent instance before the report is overdue', t => {
    const collector = new UsageCollector();
    collector.onUsage(usageReport(A, 3));
    t.is(decide(collector, REPORT_DUE_MS / 2).decided.length, 1);
  });

  // Guards against two different reports for one window.
  it('does not change the usage of a window that is final', t => {
    const collector = new UsageCollector();
    collector.onUsage(usageReport(A, 3));
    const notes = decide(collector, REPORT_DUE_MS / 2);
    collector.onUsage(usageReport(A, 9));
    t.is(decide(collector, REPORT_DUE_MS / 2 + 100, notes), notes);
  });

  it('keeps final usage until it is reported', t => {
    const collector = new UsageCollector();
    const notes = decide(collector, REPORT_DUE_MS / 2);
    const after = withReported(notes, WINDOW);
    t.deepEqual(after.decided, []);
    t.is(after.reportedThrough, WINDOW);
  });

  // Guards against a window that is reported with two counts because the store has lost
  // the notes in which the first one was final.
  it('leaves out windows whose final usage is lost', t => {
    const collector = new UsageCollector();
    [A, B].forEach(id => {
      collector.onUsage(usageReport(id, 3));
    });
    t.is(decide(collector, 3000, undefined, WINDOW - 1).decided.length, 1);
    t.is(decide(collector, 3000, undefined, WINDOW).decided.length, 0);
  });

  it('skips windows that are too old to be reported', t => {
    const notes = decide(new UsageCollector(), 200 * WINDOW_MS);
    t.is(notes.decided[0]?.window, WINDOW + 195);
  });
});
