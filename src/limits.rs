//! Every size, count and time that the program keeps to, filled once at start and handed down.

use std::time::Duration;

use tulipridge_http1::Http1Limits;

/// What a gateway may use and how long it waits. Nothing else in the network code states a bound, but for
/// what a connection keeps to by itself.
#[derive(Clone, Debug)]
pub struct Limits {
    /// What each connection keeps to.
    pub wire: Http1Limits,
    /// Interim answers (1xx) before one that counts.
    pub interim_heads: usize,
    /// Bytes of one object of discovery's answers.
    pub list_bytes: usize,
    /// Edge connections open at once.
    pub edge_connections: usize,
    /// Bytes of requests held at once; beyond it, bodies wait in their sockets until others are answered.
    pub held_bytes: usize,
    /// Bytes that a client may send behind its open request, beyond what is kept of them, before it is heard no more.
    pub flood_bytes: usize,
    /// While places are scarce, an edge connection makes room after this time if nothing has come on it.
    pub edge_mute: Duration,
    /// While places are scarce, an edge connection makes room when for this time nothing more of its request came.
    pub edge_slow: Duration,
    /// While places are scarce, an edge connection makes room after this time since its last answer.
    pub edge_rested: Duration,
    /// While places are scarce, a connection makes room after this time since its last answer of all.
    pub closing: Duration,
    /// The same whatever still comes.
    pub linger: Duration,
    /// How often a newcomer looks for room while there is none.
    pub edge_look: Duration,
    /// Descriptors kept back from clients and real servers: for discovery, the store, the log, the runtime's own and
    /// the second address, which must not depend on what else is going on.
    pub own_descriptors: usize,
    /// Callers at the second address at once.
    pub mgmt_callers: usize,
    /// While their places are scarce, a caller makes room after this time if nothing has come on it.
    pub mgmt_mute: Duration,
    /// While their places are scarce, a caller makes room when for this time nothing more of its call came.
    pub mgmt_slow: Duration,
    /// Time for a call to arrive whole.
    pub mgmt_read: Duration,
    /// Time in which a caller must take its answer.
    pub mgmt_write: Duration,
    /// How often a starting process looks whether it can serve.
    pub start_look: Duration,
    /// Connections to real servers open at once, idle ones included.
    pub server_connections: usize,
    /// An idle connection to a real server is closed after this time.
    pub pool_idle: Duration,
    /// A connection to a real server is not used again sooner after an answer.
    pub pool_settle: Duration,
    /// How often idle connections are looked through.
    pub pool_sweep: Duration,
    /// An edge connection without a request is closed after this time.
    pub edge_idle: Duration,
    /// Time for a request to arrive whole, from the connection's accepting or else the request's first byte.
    pub edge_read: Duration,
    /// The longest time that a client may ask for; it bounds how long its request is remembered.
    pub longest_wait: Duration,
    /// Time in which a client must take an answer that is no stream.
    pub edge_write: Duration,
    /// What a stream that is passed on may hold and wait for.
    pub stream: StreamLimits,
    /// What the messages front takes and gathers.
    pub messages: MessagesLimits,
    /// When a real server is rested for the streams that it spoils; none: never.
    pub rest: Option<RestLimits>,
    /// Time in which the rest of an answer that serves nobody is read, to keep its connection.
    pub rest_read: Duration,
    /// An answer whose head is there waits so long for its first event.
    pub stream_opening: Duration,
    /// The rest of a head that has begun must come within this time.
    pub head_stall: Duration,
    /// A watch without a line for this time counts as broken, and is listened to until another takes its place.
    pub watch_silence: Duration,
    /// The same where lists are pushed: what the agent has counts whether or not a watch is open, and a call costs
    /// nothing.
    pub agent_silence: Duration,
    /// An agent without an answer for this time is asked once more beside.
    pub agent_answer: Duration,
    /// Calls to an agent that fail begin so far apart at the least.
    pub agent_pause: Duration,
    /// Time for discovery's answer to begin.
    pub discovery_answer: Duration,
    /// Bytes of a stream that is handed over, all that waits at it included.
    pub handover_bytes: usize,
    /// How often an older process looks whether what it holds has changed, to tell the newer one.
    pub report_every: Duration,
    /// Pause of the listener after it found no descriptor free.
    pub accept_pause: Duration,
    /// After SIGTERM or a drain, requests are taken for this time on connections that clients have.
    pub stop_grace: Duration,
    /// Without an answer of discovery, a list from the configuration counts as good after this time.
    pub list_wait: Duration,
    /// A time-out that fell this short of its end when the client left counts as one.
    pub timeout_slack: Duration,
    /// Log lines that wait for standard error or the collector; further ones are dropped and counted.
    pub backlog: usize,
    /// Bytes of all of them together.
    pub log_bytes: usize,
    /// Keys that the store holds.
    pub store_keys: usize,
    /// Bytes of a key or a value of the store.
    pub store_bytes: usize,
    /// Bytes of a line between stores: all keys at their largest fit.
    pub store_line: usize,
    /// Connections to the store's port.
    pub store_peers: usize,
    /// A stamp of the store further ahead of the clock than this is garbage: it would win for ever.
    pub store_ahead: Duration,
    /// Unknown event names that are remembered so as to be logged once.
    pub names_noted: usize,
    /// Time for the log to get out at the program's end or at a panic.
    pub syslog_drain: Duration,
    /// How often it is looked whether it is.
    pub drain_look: Duration,
    /// The serving thread may run so late before it is told.
    pub lag_most: Duration,
    /// A spell of running late is over after this time without.
    pub lag_calm: Duration,
    /// Time between two looks at the thread's own processor time.
    pub lag_again: Duration,
    /// Time between two notes of this node's state in the store.
    pub state_every: Duration,
    /// Time between two exchanges of the store with a peer.
    pub peer_every: Duration,
}

impl Limits {
    /// The limits of a machine: its descriptors, its memory in MB, and what the settings say of connections.
    #[must_use]
    #[expect(clippy::too_many_lines, reason = "one line for each limit")]
    pub fn new(sockets: usize, memory_mb: usize, connect: Duration, idle: Duration) -> Limits {
        let own = (sockets / 16).max(24);
        let edge_connections = (sockets.saturating_sub(own) * 8 / 15).max(8);
        // A third of the memory is the system's for connections: two buffers for each stream's two connections
        // fill at most, and the system doubles what it is asked for.
        let socket_buffer = ((memory_mb << 20) / 3 / edge_connections / 4).clamp(4 << 10, 64 << 10);
        Limits {
            wire: Http1Limits { socket_buffer, connect_timeout: connect, ..Http1Limits::default() },
            interim_heads: 16,
            list_bytes: 1 << 20,
            edge_connections,
            // What is written to a real server is copied only meanwhile.
            held_bytes: (memory_mb << 20) * 3 / 8,
            // A client that has left has no more on its way than its system keeps for a connection: 4 MB, as Linux
            // comes.
            flood_bytes: 4 << 20,
            edge_mute: Duration::from_millis(200),
            edge_slow: Duration::from_secs(1),
            edge_rested: Duration::from_secs(2),
            closing: Duration::from_millis(20),
            linger: Duration::from_secs(1),
            edge_look: Duration::from_millis(50),
            own_descriptors: own,
            mgmt_callers: (own - 16).min(32),
            mgmt_mute: Duration::from_millis(20),
            mgmt_slow: Duration::from_millis(100),
            // An answer is due within a second, however the call came.
            mgmt_read: Duration::from_millis(600),
            mgmt_write: Duration::from_millis(200),
            start_look: Duration::from_millis(10),
            server_connections: (sockets.saturating_sub(own) * 7 / 15).max(8),
            // Well before the other side's limit, so that no request crosses its close.
            pool_idle: idle.mul_f64(0.6),
            // A second answer may come some milliseconds behind the first, and would be taken for the next one's.
            pool_settle: Duration::from_millis(20),
            pool_sweep: Duration::from_millis(250),
            edge_idle: Duration::from_secs(4),
            // A client that sends no whole request is owed an error or a close within 3 s of connecting.
            edge_read: Duration::from_millis(2200),
            longest_wait: Duration::from_secs(60),
            edge_write: Duration::from_secs(10),
            stream: StreamLimits::new(memory_mb),
            messages: MessagesLimits::default(),
            rest: None,
            rest_read: Duration::from_millis(50),
            stream_opening: Duration::from_secs(4),
            head_stall: Duration::from_millis(1500),
            watch_silence: Duration::from_nanos(crate::list_schedule::WATCH_IDLE_TIMEOUT),
            // An empty line is due after 2 s.
            agent_silence: Duration::from_millis(2300),
            // Together well below the time for which a drained server may still be sent to.
            agent_answer: Duration::from_millis(100),
            agent_pause: Duration::from_millis(50),
            discovery_answer: Duration::from_millis(2500),
            // What a stream may hold at each of its sides, and its description.
            handover_bytes: 160 << 10,
            report_every: Duration::from_millis(20),
            accept_pause: Duration::from_millis(20),
            stop_grace: Duration::from_millis(700),
            list_wait: Duration::from_secs(1),
            timeout_slack: Duration::from_millis(25),
            backlog: 1024,
            log_bytes: 256 << 10,
            store_keys: 256,
            store_bytes: 2 << 10,
            store_line: 2 << 20,
            store_peers: 8,
            store_ahead: Duration::from_secs(60),
            names_noted: 64,
            syslog_drain: Duration::from_millis(200),
            drain_look: Duration::from_millis(1),
            lag_most: Duration::from_millis(100),
            lag_calm: Duration::from_secs(1),
            lag_again: Duration::from_millis(10),
            state_every: Duration::from_secs(2),
            peer_every: Duration::from_millis(500),
        }
    }

    /// The same where another process of this gateway may be up beside this one: its own descriptors are kept back too.
    #[must_use]
    pub fn for_two(mut self) -> Limits {
        self.edge_connections = self.edge_connections.saturating_sub(self.own_descriptors * 8 / 15).max(8);
        self.server_connections =
            self.server_connections.saturating_sub(self.own_descriptors * 7 / 15).max(8);
        self
    }
}

/// What a stream that is passed on may hold and wait for.
#[derive(Clone, Debug)]
pub struct StreamLimits {
    /// Bytes that a stream holds before it is no longer read.
    pub high: usize,
    /// Bytes at or under which it is read again.
    pub low: usize,
    /// Bytes that all streams together hold before they are cut.
    pub budget: usize,
    /// Bytes that each stream may hold however short the budget is.
    pub floor: usize,
    /// A real server is silent for this long between two events before its stream counts as stalled.
    pub silence: Duration,
    /// The same amid a chunk or an event.
    pub stall: Duration,
    /// The same after the dialect's last event, for the last chunk.
    pub tail: Duration,
    /// Where set, silence is limited to so many times the longest that the stream came back from, but to no
    /// less than this time and no more than the limits above.
    pub pace: Option<(f64, Duration)>,
    /// The span over which a reader's progress is looked at.
    pub reader_span: Duration,
    /// Bytes that a reader takes in that span at the least, while bytes wait for it.
    pub reader_floor: usize,
    /// After a break, the client may take what waits for this time.
    pub linger: Duration,
    /// After SIGTERM, streams are cut after this time.
    pub stop: Duration,
    /// So long before it is cut a stream is offered to the process that follows.
    pub offer_before: Duration,
    /// Pause before it is offered again.
    pub offer_again: Duration,
    /// Pause between two snapshots of the figures in the log; none: only at the end.
    pub figures_every: Option<Duration>,
    /// How often rests that are over and figures that are due are looked for.
    pub look: Duration,
    /// Bytes read by one stream before others have their turn.
    pub turn: usize,
}

impl StreamLimits {
    fn new(memory_mb: usize) -> StreamLimits {
        let high = 16 << 10;
        StreamLimits {
            high,
            low: high / 4,
            budget: (memory_mb << 20) / 8,
            floor: 4 << 10,
            // Guards against a stream that has stopped for good on an open connection: its client is owed an end
            // within 5 s of the last event.
            silence: Duration::from_secs(4),
            stall: Duration::from_millis(1500),
            tail: Duration::from_millis(1500),
            pace: None,
            reader_span: Duration::from_secs(8),
            reader_floor: 4 << 10,
            linger: Duration::from_secs(1),
            // A planned stop kills no sooner than 3.7 s after its SIGTERM.
            stop: Duration::from_millis(3550),
            offer_before: Duration::from_millis(500),
            offer_again: Duration::from_millis(20),
            figures_every: None,
            look: Duration::from_millis(250),
            turn: 32 << 10,
        }
    }
}

/// What the messages front takes and gathers.
#[derive(Clone, Debug)]
pub struct MessagesLimits {
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How deep a tool's schema or input nests.
    pub depth: usize,
    /// Blocks in a request, those within results and documents counted.
    pub blocks: usize,
    /// Turns in a request.
    pub turns: usize,
    /// Tools in a request.
    pub tools: usize,
    /// Stop sequences in a request.
    pub stops: usize,
    /// Bytes of a whole answer, as it is put together.
    pub whole_bytes: usize,
    /// Bytes of a tool call that wait for the end of another one.
    pub call_bytes: usize,
    /// Tokens of an answer whose request names no number, where the other dialect wants one.
    pub usual_tokens: u64,
    /// Bytes of a real server's words on a request that it holds for wrong.
    pub words_bytes: usize,
}

impl Default for MessagesLimits {
    fn default() -> MessagesLimits {
        MessagesLimits {
            body_bytes: 256 << 10,
            depth: 64,
            blocks: 4096,
            turns: 4096,
            tools: 256,
            stops: 64,
            whole_bytes: 256 << 10,
            call_bytes: 64 << 10,
            usual_tokens: 4096,
            words_bytes: 4 << 10,
        }
    }
}

/// When a real server is rested for the streams that it spoils.
#[derive(Clone, Debug)]
pub struct RestLimits {
    /// The span over which ends are counted.
    pub span: Duration,
    /// Ends remembered of each real server.
    pub ends: usize,
    /// ParseError ends in a span before a rest is thought of.
    pub faults: usize,
    /// The share of bad ends before a rest.
    pub share: f64,
    /// How many times the others' share it must be.
    pub above: f64,
    /// The first rest.
    pub rest: Duration,
    /// The longest; each one that follows soon is twice as long as the one before.
    pub longest_rest: Duration,
    /// The part of the fleet that rests at most.
    pub most_resting: f64,
}

impl Default for RestLimits {
    fn default() -> RestLimits {
        RestLimits {
            span: Duration::from_secs(30),
            ends: 64,
            faults: 3,
            share: 0.3,
            above: 3.0,
            rest: Duration::from_secs(5),
            longest_rest: Duration::from_secs(60),
            most_resting: 0.2,
        }
    }
}
