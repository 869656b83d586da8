import type { Attempt } from '@jujubecroft/decisions';
import type { AttemptHandle, ConnectionPools } from '@jujubecroft/backends';
import { startEngineAttempt, startServiceAttempt } from '@jujubecroft/backends';
import type { BackendServer, Tier } from '@jujubecroft/types';

import type {
  AttemptReporter,
  EngineSession,
  ServiceSession,
  Session,
} from './Session.js';

/** All that an attempt is started from. */
export interface AttemptStart {
  readonly pools: ConnectionPools;
  readonly server: BackendServer;
  readonly attempt: Attempt;
  readonly tier: Tier;
  readonly reporter: AttemptReporter;
}

function startEngine(
  start: AttemptStart,
  session: EngineSession,
): AttemptHandle {
  const { attempt, reporter, server, pools, tier } = start;
  const { request, messages, sink } = session;
  if (request.target.kind !== 'engine') {
    throw new Error('An engine session has an engine target.');
  }
  const call = {
    server,
    model: request.target.model,
    messages,
    maxTokens: request.maxOutputTokens,
    priority: tier,
    delivered: session.delivered,
    deliveredTokens: attempt.resumeFrom,
  };
  return startEngineAttempt(pools.of(server), call, {
    onProgress: ({ text, tokens }) => {
      // A late answer of an older attempt must not reach the caller.
      if (reporter.onTokens(attempt, tokens)) {
        session.delivered += text;
        sink.onProgress(text);
      }
    },
    onFinished: () => {
      if (reporter.onFinished(attempt)) {
        sink.onWhole();
      }
    },
    onFailed: failure => {
      reporter.onFailed(attempt, failure);
    },
  });
}

function startService(
  start: AttemptStart,
  session: ServiceSession,
): AttemptHandle {
  const { attempt, reporter, server, pools } = start;
  const { method, path, headers, body, sink } = session;
  const call = { method, path, headers, body };
  return startServiceAttempt(pools.of(server), call, {
    onProgress: reply => {
      if (reporter.onTokens(attempt, 1)) {
        sink.onProgress(reply);
      }
    },
    onFinished: () => {
      if (reporter.onFinished(attempt)) {
        sink.onWhole();
      }
    },
    onFailed: failure => {
      reporter.onFailed(attempt, failure);
    },
  });
}

/**
 * Starts one attempt of a session at a backend server.
 *
 * @param start - server, attempt and who hears of it
 * @param session - the request
 * @returns handle to cancel the attempt
 */
export function startAttempt(
  start: AttemptStart,
  session: Session,
): AttemptHandle {
  return session.kind === 'engine'
    ? startEngine(start, session)
    : startService(start, session);
}
