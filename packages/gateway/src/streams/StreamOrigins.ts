import type {
  GatewayRequest,
  OriginSearch,
  StreamRecord,
} from '@jujubecroft/decisions';
import { StreamRecords } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type { ServiceId, StreamKey } from '@jujubecroft/types';

import type { ConditionalTable } from '../duties/createHoldingStore.js';
import type { GatewayContext } from '../GatewayContext.js';
import type { ExpiringTable } from '../ports/DiscoveryStore.js';
import { FreshView } from './FreshView.js';
import { RecordReader } from './RecordReader.js';
import { RecordsOfOthers } from './RecordsOfOthers.js';
import { RecordWriter } from './RecordWriter.js';
import type { FoundOrigin, LookupResult } from './OriginLookup.js';
import { OriginLookup } from './OriginLookup.js';
import { firstFound } from '../util/firstFound.js';
import { fromHashBytes } from '../util/shortHash.js';
import { fromOrigins, toAnswer } from './originMessage.js';
import type { SendStreamMessage } from './OriginPublisher.js';
import { OriginPublisher } from './OriginPublisher.js';
import { SoleOrigin } from './SoleOrigin.js';
import { streamKeyOf } from './streamKeyOf.js';
import {
  callerLimitMs,
  maxStreamAgeMs,
  reachableLifeMs,
} from './streamLife.js';
import { StreamHistoryKeeper } from './StreamHistoryKeeper.js';

/** What the origins of streams are exchanged with. */
export interface OriginLinks {
  readonly send: SendStreamMessage;
  /** Reads the replicas from the store; the result tells whether it answered. */
  readonly readReplicas: () => Promise<boolean>;
  /** Keeps the history of streams. */
  readonly history: ConditionalTable;
  /** Keeps records of streams. */
  readonly records: ExpiringTable;
}

const NO_LINKS: Omit<OriginLinks, 'history' | 'records'> = {
  send: () => undefined,
  readReplicas: () => Promise.resolve(false),
};

/** Where a stream began, or what was done to find out. */
export type OriginResult =
  | { readonly found: FoundOrigin }
  | { readonly found: null; readonly searched: OriginSearch };

/** Sources of knowledge that are not the name of another instance. */
const OWN_RECORD = 'ownRecord';
const SOLE_VERSION = 'soleVersion';
const STORED_RECORD = 'storedRecord';
const OWN_SOURCES = [OWN_RECORD, SOLE_VERSION, STORED_RECORD];

/**
 * Time for which only other instances are asked, in milliseconds. They usually answer by
 * then, which saves a call to the store.
 */
const ASK_FIRST_MS = 30;

/** @returns the value of the `source` label for an origin */
function sourceOf({ knownFrom }: FoundOrigin): string {
  return OWN_SOURCES.includes(knownFrom) ? knownFrom : 'otherInstance';
}

/**
 * Knows at which software version streams began, also those of other instances.
 *
 * The knowledge is a record of the instance that sent the first event, or the fact that
 * the service has had no other version for as long as a stream can last. Anything else
 * would be a guess, by which a stream may not go on.
 */
export class StreamOrigins {
  readonly #records: StreamRecords;
  readonly #publisher: OriginPublisher;
  readonly #lookup: OriginLookup;
  readonly #freshView: FreshView;
  readonly #sole: SoleOrigin;
  readonly #history: StreamHistoryKeeper;
  readonly #reader: RecordReader;
  readonly #writer: RecordWriter;
  readonly #ofOthers: RecordsOfOthers;
  #links = NO_LINKS;

  constructor(
    private readonly context: Pick<
      GatewayContext,
      'clock' | 'membership' | 'metrics' | 'router' | 'settings' | 'timers'
    >,
  ) {
    const { clock, timers } = context;
    const send: SendStreamMessage = (message, to) => {
      this.#links.send(message, to);
    };
    this.#records = new StreamRecords(clock);
    this.#reader = new RecordReader(context, this.#records);
    this.#writer = new RecordWriter(context, this.#reader);
    const afterLoss = (service: ServiceId): boolean =>
      this.#sole.hasSeveralVersions(service);
    const store = (record: StreamRecord): void => {
      this.#writer.add(record);
    };
    this.#publisher = new OriginPublisher(
      context,
      this.#records,
      { byInstances: service => this.#sole.needsRecords(service), afterLoss },
      send,
      store,
    );
    this.#ofOthers = new RecordsOfOthers(context, afterLoss, store);
    this.#lookup = new OriginLookup(context, send, (service, reply) => {
      this.#versions.extend(service, reply.sole, reply.viewAgeMs);
    });
    this.#history = new StreamHistoryKeeper(context);
    this.#sole = new SoleOrigin(context, this.#history);
    this.#freshView = new FreshView(timers, async () => {
      const answered = await Promise.all([
        this.#links.readReplicas(),
        this.#history.refresh(),
      ]);
      return answered.every(Boolean);
    });
  }

  /** Connects the other instances and the store. */
  connect(links: OriginLinks): void {
    this.#links = links;
    this.#history.connect(links.history);
    this.#reader.connect(links.records);
    this.#writer.connect(links.records);
  }

  /** Writes to the store what it lacks; to be called at short intervals. */
  checkStored(): void {
    this.#history.check();
    this.#writer.checkEra();
    this.#ofOthers.check();
  }

  /** Records a request whose stream may be continued later. */
  onRequest(request: GatewayRequest): void {
    if (request.binding) {
      this.#history.onLife(callerLimitMs(request));
    }
  }

  /** Records that the caller of a request has the first event of its stream. */
  onBegun(request: GatewayRequest): void {
    const { binding, resumption, service } = request;
    const softwareVersion = binding?.version ?? null;
    if (softwareVersion === null) {
      return;
    }
    this.#keysOf(request).forEach(key => {
      this.#publisher.onBegun({
        key,
        service: service.id,
        softwareVersion,
        keepMs: maxStreamAgeMs(callerLimitMs(request)),
        provenAgeMs: resumption?.provenAgeMs ?? 0,
      });
    });
  }

  /** Records that a request has ended. */
  onEnded(request: GatewayRequest): void {
    if (request.binding?.isBound === true) {
      this.#keysOf(request).forEach(key => {
        this.#publisher.onEnded(key);
      });
    }
  }

  /** Passes all records on to other instances and the store, before this one stops. */
  handOver(): void {
    this.#publisher.handOver();
    void this.#writer.flush();
  }

  /**
   * Finds out where the stream began that a request continues.
   *
   * @param request - a request with a resumption
   * @returns the origin, or what was done if it is not known
   */
  async find(request: GatewayRequest): Promise<OriginResult> {
    const result = await this.#search(request);
    const { found } = result;
    if (found) {
      this.#history.onLife(reachableLifeMs(request, found.provenAgeMs));
    }
    this.context.metrics.streamOrigins.inc({
      service: request.service.id,
      source: found ? sourceOf(found) : 'unknown',
    });
    return result;
  }

  async #search(request: GatewayRequest): Promise<OriginResult> {
    const known = this.#findOwn(request) ?? (await this.#findSole(request));
    if (known) {
      return { found: known };
    }
    const asking = this.#ask(request);
    const elsewhere = await firstFound([
      asking.then(result => result.found),
      this.#findStored(request, asking),
    ]);
    const found = elsewhere ?? (await this.#findSole(request));
    if (found) {
      return { found };
    }
    const { asked, answered } = await asking;
    const versions = this.#sole.reasonAgainst(request);
    return { found, searched: { asked, answered, versions } };
  }

  /** Finds the record in the store, unless another instance knows the origin. */
  async #findStored(
    request: GatewayRequest,
    asking: Promise<LookupResult>,
  ): Promise<FoundOrigin | null> {
    const isNamed = (request.resumption?.firstRequest ?? null) !== null;
    if (!isNamed || !this.#sole.mayHaveStored(request)) {
      return null;
    }
    const { timers } = this.context;
    const told = await Promise.race([asking, timers.sleep(ASK_FIRST_MS)]);
    if (told?.found || !(await this.#reader.refresh())) {
      return null;
    }
    const known = this.#findOwn(request);
    return known && { ...known, knownFrom: STORED_RECORD };
  }

  /** Handles a message of another instance. */
  receive(message: proto.StreamMessage, from: string): void {
    const records = fromOrigins(message.origins);
    records.forEach(record => {
      this.#records.add(record);
    });
    this.#ofOthers.receive(records);
    if (message.question) {
      this.#answer(message.question, from);
    }
    if (message.answer) {
      this.#lookup.onAnswer(message.answer);
    }
  }

  get #versions(): GatewayContext['router']['board']['versions'] {
    return this.context.router.board.versions;
  }

  /** Keys of the request itself and of the one whose stream it continues. */
  #keysOf({
    id,
    organisation,
    resumption,
  }: GatewayRequest): readonly StreamKey[] {
    return [id, resumption?.firstRequest ?? id]
      .filter((name, index, all) => all.indexOf(name) === index)
      .map(name => streamKeyOf(organisation, name));
  }

  #findOwn({ organisation, resumption }: GatewayRequest): FoundOrigin | null {
    const first = resumption?.firstRequest ?? null;
    const known =
      first === null
        ? null
        : this.#records.find(streamKeyOf(organisation, first));
    return known && { ...known, knownFrom: OWN_RECORD };
  }

  /** Finds the only version that a service has had while the stream may have begun. */
  async #findSole(request: GatewayRequest): Promise<FoundOrigin | null> {
    if (this.#sole.find(request) === null) {
      return null;
    }
    // A version that this instance has not heard of may have begun the stream.
    const isFresh = await this.#freshView.confirm();
    const known = isFresh ? this.#sole.find(request) : null;
    return known && { ...known, knownFrom: SOLE_VERSION };
  }

  /** Asks other instances, which also tell how long the service has had one version. */
  async #ask(request: GatewayRequest): Promise<LookupResult> {
    const { organisation, resumption, id, service } = request;
    const first = resumption?.firstRequest ?? id;
    return this.#lookup.find(streamKeyOf(organisation, first), service.id);
  }

  #answer(question: proto.OriginQuestion, from: string): void {
    const { number, key, service } = question;
    const [asked] = fromHashBytes<StreamKey>(key);
    const { replicas } = this.context.router.board;
    const reply = {
      origin: asked === undefined ? null : this.#records.find(asked),
      sole: this.#versions.soleVersion(service as ServiceId),
      viewAgeMs: replicas.ageMs,
    };
    this.context.metrics.peerMessages.inc({ kind: 'originAnswer' });
    this.#links.send({ answer: toAnswer(number, reply) }, from);
  }
}
