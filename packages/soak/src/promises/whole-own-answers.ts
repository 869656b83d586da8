import { plainBody, streamBody } from '../answers.js';
import type { SeenAnswer, SentRequest } from '../evidence.js';
import { workOf } from '../workOf.js';
import type { SoakPromise } from './SoakPromise.js';

const OK = 200;

/** What a whole answer to a request must be. */
function expectedBody(sent: SentRequest, { mark }: SeenAnswer): string {
  const work = workOf(sent.body);
  return work.events > 0
    ? streamBody(sent.id, 1, work.events)
    : plainBody(sent.id, mark ?? '');
}

/** Why a success can't be an answer to its request; null where it is one. */
function faultOf(sent: SentRequest, answer: SeenAnswer): string | null {
  if (answer.mark === null) {
    return 'success without the mark of a run';
  }
  const expected = expectedBody(sent, answer);
  if (answer.whole && answer.body !== expected) {
    return `whole answer of ${answer.body.length} characters, not the replica's ${expected.length}`;
  }
  return expected.startsWith(answer.body)
    ? null
    : 'part of an answer that is not this request’s';
}

/** A success is the replica's whole answer to this very request, or visibly broken. */
export const wholeOwnAnswers: SoakPromise = {
  name: 'whole-own-answers',
  description:
    'A success is the replica’s own answer to the request; one that ends early does not look whole.',
  timed: false,
  check: ({ sent, answers }, index) =>
    sent.flatMap(request => {
      const answer = answers.get(request.id);
      if (answer?.status !== OK) {
        return [];
      }
      const fault = faultOf(request, answer);
      const made = index
        .runsOf(request.id)
        .some(({ id, replica }) => `${replica}/${id}` === answer.mark);
      const what = fault ?? (made ? null : `no run bears ${answer.mark ?? ''}`);
      return what === null ? [] : [{ request: request.id, what }];
    }),
};
