//! Streams of silent groups, which are kept until another group has resumed them.

use std::pin::pin;

use cyclamen_endpoint::{Chunk, Stream, StreamError};
use cyclamen_types::Time;
use futures::future::{Either, select};

use crate::caller::completion::job::{Job, Upstream};
use crate::caller::refusal::Refusal;
use crate::node::Node;

/// A stream with the chunk that it returned.
type Progress = (Upstream, Chunk);

/// How the wait for a silent stream and for the group that resumes it ended.
enum Race {
    /// The silent stream returned a chunk.
    Outlasted(Chunk),
    /// Another group returned a chunk.
    Resumed(Box<Progress>),
    /// The silent stream ended; another group may resume it.
    Broken(StreamError),
    /// The silent stream ended, and no other group resumes it.
    Failed(StreamError, Refusal),
}

impl Job {
    /// Resumes a silent stream on another group, but keeps it until that group has responded.
    ///
    /// Returns the stream that responds first, or `None` if the silent one broke before.
    pub(super) async fn outlast(
        &mut self,
        mut silent: Upstream,
    ) -> Result<Option<Progress>, Refusal> {
        match self.race(&mut silent.stream).await {
            Race::Outlasted(chunk) => Ok(Some((silent, chunk))),
            Race::Resumed(progress) => {
                self.give_up(silent, StreamError::Silent).await;
                self.node.metrics.record_resumed_stream();
                Ok(Some(*progress))
            }
            Race::Broken(cause) => {
                self.handle_break(silent, cause).await?;
                Ok(None)
            }
            Race::Failed(cause, refusal) => {
                self.give_up(silent, cause).await;
                Err(refusal)
            }
        }
    }

    /// Waits for a silent stream, as long as a caller may wait for its first byte, and for a group
    /// that resumes it.
    async fn race(&mut self, silent: &mut Stream) -> Race {
        let node = self.node.clone();
        let deadline = node.now() + self.route.deadline();
        let silent = pin!(next_before(&node, silent, deadline));
        let resumed = pin!(self.resume());
        match select(silent, resumed).await {
            Either::Left((Ok(chunk), _)) => Race::Outlasted(chunk),
            Either::Left((Err(StreamError::Silent), resumed)) => match resumed.await {
                Ok(progress) => Race::Resumed(Box::new(progress)),
                Err(refusal) => Race::Failed(StreamError::Silent, refusal),
            },
            Either::Left((Err(cause), _)) => Race::Broken(cause),
            Either::Right((Ok(progress), _)) => Race::Resumed(Box::new(progress)),
            Either::Right((Err(refusal), silent)) => match silent.await {
                Ok(chunk) => Race::Outlasted(chunk),
                Err(cause) => Race::Failed(cause, refusal),
            },
        }
    }

    /// Returns the stream of a group that resumes the request, with its first chunk.
    async fn resume(&mut self) -> Result<Progress, Refusal> {
        self.retry.record_retry(&self.node)?;
        loop {
            let mut upstream = Box::pin(self.connect()).await?;
            match upstream.stream.next().await {
                Ok(chunk) => return Ok((upstream, chunk)),
                Err(cause) => self.handle_break(upstream, cause).await?,
            }
        }
    }
}

/// Reads the next chunk of a stream, which may be silent until the deadline.
async fn next_before(
    node: &Node,
    stream: &mut Stream,
    deadline: Time,
) -> Result<Chunk, StreamError> {
    loop {
        match stream.next().await {
            Err(StreamError::Silent) if node.now() < deadline => {}
            result => return result,
        }
    }
}
