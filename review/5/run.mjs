// A tenant whose prompts consist of many parts sends many times its usual.
import { Agent } from 'node:http';

import {
  draftRoute,
  engineService,
  plainRoute,
  plainService,
} from '../lib-3/Config.mjs';
import {
  answerDraft,
  newPart,
  OWN_TOKENS,
  sendDraft,
  SHARED_TOKENS,
} from '../lib-3/drafts.mjs';
import { sleep } from '../lib-3/Fleet.mjs';
import { answerAfter, keepCalling, Losses } from '../lib-3/keptChannels.mjs';
import { runCase } from '../lib-3/scenario.mjs';

// hot_tenant: 6 times the usual for 11 s, as one entry of the site file.
const USUAL_PER_S = 1.5;
const TIMES = 6;
const HOT_MS = 11_000;
const BEFORE_MS = 4000;
const AFTER_MS = 4000;
// Each line of the checklist and of the notes is a part.
const PART_TOKENS = 12;
const SHARED_PARTS = Math.round(SHARED_TOKENS / PART_TOKENS);
const OWN_PARTS = Math.round(OWN_TOKENS / PART_TOKENS);
// Other callers, each with a channel of its own that it keeps.
const OTHERS_PER_MACHINE = 20;
// Their requests take seconds, so that some are at a replica at any time.
const TIME_LIMIT_MS = 12_000;
const REPORT_ROUTE = {
  name: 'r-report',
  prefix: '/report/',
  timeout_ms: TIME_LIMIT_MS,
};

const zones = ['hall-a', 'hall-b', 'hall-c'];

await runCase({
  folder: import.meta.dirname,
  net: 35,
  machines: 2,
  routes: [draftRoute, plainRoute('unsafe', REPORT_ROUTE)],
  services: [engineService, plainService],
  replicas: [
    ...[...zones, ...zones].map(zone => ({
      service: 'jujube-llm',
      zone,
      slots: 64,
      answer: answerDraft,
    })),
    ...zones.map(zone => ({
      service: 'field-app',
      zone,
      slots: 6,
      answer: answerAfter(3000, 5000),
    })),
  ],
  play: async ({ trouble, record, fleet, replicas }) => {
    const { instances, front } = fleet;
    const losses = new Losses(record, replicas);
    let isOver = false;
    const others = instances.flatMap(instance =>
      Array.from({ length: OTHERS_PER_MACHINE }, () =>
        keepCalling(instance, front, {
          path: '/report/month',
          deadlineMs: TIME_LIMIT_MS,
          isOver: () => isOver,
          onEnd: losses.onEnd,
        }),
      ),
    );
    const channels = new Agent({ keepAlive: true });
    const shared = Array.from({ length: SHARED_PARTS }, () =>
      newPart(PART_TOKENS),
    );
    const draft = async instance => {
      const own = Array.from({ length: OWN_PARTS }, () => newPart(PART_TOKENS));
      const got = await sendDraft({
        host: instance.host,
        port: front,
        parts: [...shared, ...own],
        agent: channels,
      });
      losses.onEnd(instance, got);
    };
    const drafts = [];
    const startedMs = performance.now();
    const endMs = BEFORE_MS + HOT_MS + AFTER_MS;
    let turn = 0;
    for (;;) {
      const atMs = performance.now() - startedMs;
      if (atMs >= endMs || instances.every(({ ended }) => ended !== null)) {
        break;
      }
      const isHot = trouble && atMs >= BEFORE_MS && atMs < BEFORE_MS + HOT_MS;
      const instance = instances[turn % instances.length];
      turn += 1;
      if (instance.ended === null) {
        drafts.push(draft(instance));
      }
      await sleep(1000 / (USUAL_PER_S * (isHot ? TIMES : 1)));
    }
    isOver = true;
    await Promise.all([...others, ...drafts]);
    channels.destroy();
    record.note(
      `${drafts.length} drafts with prompts of ${SHARED_PARTS + OWN_PARTS} parts`,
    );
    return losses.judge(instances);
  },
});
