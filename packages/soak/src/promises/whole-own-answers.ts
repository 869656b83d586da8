import { plainBody, receivedEvents, streamBody } from '../answers.js';
import type { ObservedResponse, SentRequest } from '../evidence.js';
import { workOf } from '../workOf.js';
import type { SoakInvariant } from './SoakInvariant.js';

const HTTP_OK = 200;

/** Returns the body of a complete response to a request. */
function expectedBody(
  sent: SentRequest,
  { stamp, body }: ObservedResponse,
): string {
  const work = workOf(sent.body);
  const [first] = receivedEvents(body);
  // Which versions may have written the events is checked elsewhere.
  const version = first?.version ?? '';
  return work.events > 0
    ? streamBody(
        { id: sent.id, events: work.events, version },
        1 + (sent.continues?.after ?? 0),
      )
    : plainBody(sent.id, stamp ?? '');
}

/** Describes why a success cannot be the response to its request; null if it can. */
function violationOf(
  sent: SentRequest,
  answer: ObservedResponse,
): string | null {
  if (answer.stamp === null) {
    return 'success without a response stamp';
  }
  const expected = expectedBody(sent, answer);
  if (answer.whole && answer.body !== expected) {
    return `complete response of ${answer.body.length} characters, not the expected ${expected.length}`;
  }
  return expected.startsWith(answer.body)
    ? null
    : 'partial response that does not belong to this request';
}

/** A success is the replica's complete response to the request, or visibly truncated. */
export const wholeOwnAnswers: SoakInvariant = {
  name: 'whole-own-answers',
  description:
    'A successful response is the one that a replica produced for the request, and looks incomplete if it was truncated.',
  timed: false,
  check: ({ sent, answers }, index) =>
    sent.flatMap(request => {
      const answer = answers.get(request.id);
      if (answer?.status !== HTTP_OK) {
        return [];
      }
      const violation = violationOf(request, answer);
      const hasExecution = index
        .executionsOf(request.id)
        .some(({ id, replica }) => `${replica}/${id}` === answer.stamp);
      const what =
        violation ??
        (hasExecution
          ? null
          : `no execution with the stamp ${answer.stamp ?? ''}`);
      return what === null ? [] : [{ request: request.id, what }];
    }),
};
