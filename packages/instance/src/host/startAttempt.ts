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

/** Options of {@link startAttempt}. */
export interface AttemptOptions {
  readonly pools: ConnectionPools;
  readonly server: BackendServer;
  readonly attempt: Attempt;
  readonly tier: Tier;
  readonly reporter: AttemptReporter;
}

function startEngineSession(
  options: AttemptOptions,
  session: EngineSession,
): AttemptHandle {
  const { attempt, reporter, server, pools, tier } = options;
  const { request, messages, sink } = session;
  if (request.target.kind !== 'engine') {
    throw new Error('The target of an engine session is not an engine.');
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
  return startEngineAttempt(pools.poolFor(server), call, {
    onProgress: ({ text, tokens }) => {
      // Output of a superseded attempt must not reach the caller.
      if (reporter.onTokens(attempt, tokens)) {
        session.delivered += text;
        sink.onProgress(text);
      }
    },
    onFinished: () => {
      if (reporter.onFinished(attempt)) {
        sink.onComplete();
      }
    },
    onFailed: failure => {
      reporter.onFailed(attempt, failure);
    },
  });
}

function startServiceSession(
  options: AttemptOptions,
  session: ServiceSession,
): AttemptHandle {
  const { attempt, reporter, server, pools } = options;
  const { method, path, headers, body, sink } = session;
  const call = { method, path, headers, body };
  return startServiceAttempt(pools.poolFor(server), call, {
    onProgress: reply => {
      if (reporter.onTokens(attempt, 1)) {
        sink.onProgress(reply);
      }
    },
    onFinished: () => {
      if (reporter.onFinished(attempt)) {
        sink.onComplete();
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
 * @param options - backend server, attempt and reporter
 * @param session - session of the request
 * @returns handle that cancels the attempt
 */
export function startAttempt(
  options: AttemptOptions,
  session: Session,
): AttemptHandle {
  return session.kind === 'engine'
    ? startEngineSession(options, session)
    : startServiceSession(options, session);
}
