use std::{fs, net::SocketAddr};

use clap::ArgMatches;
use futures_util::StreamExt;
use serde::Deserialize;

use super::{
    client::OperatorClient,
    imp::{Failure, Result, argument, print, print_note},
    serve::block_on,
};
use crate::{
    config::{self, Section},
    error::{Error, Kind},
    id::{Editor, Revision},
    operator::SectionText,
};

/// Response to an accepted edit.
#[derive(Deserialize)]
struct Accepted {
    revision: Revision,
}

pub(super) fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("check", matches)) => check(&argument::<String>(matches, "file")),
        Some(("create", matches)) => block_on(create(matches)),
        Some(("get", matches)) => block_on(get(matches)),
        Some(("put", matches)) => block_on(put(matches)),
        Some(("watch", matches)) => block_on(watch(matches)),
        _ => Ok(()),
    }
}

fn check(file: &str) -> Result<()> {
    config::parse(file, &read(file)?).map_err(|faults| Failure::Invalid(faults.render()))?;
    print(&format!("{file}: no faults"));
    Ok(())
}

fn read(file: &str) -> Result<String> {
    fs::read_to_string(file)
        .map_err(|error| Failure::Invalid(format!("cannot read {file}: {error}")))
}

fn client(matches: &ArgMatches) -> Result<OperatorClient> {
    Ok(OperatorClient::from_env(argument::<SocketAddr>(
        matches, "entry",
    ))?)
}

async fn create(matches: &ArgMatches) -> Result<()> {
    let file: String = argument(matches, "file");
    let text = read(&file)?;
    // Validates the document before it is sent, because these faults refer to lines of the file.
    config::parse(&file, &text).map_err(|faults| Failure::Invalid(faults.render()))?;
    let editor: Editor = argument(matches, "editor");
    let path = format!("config?editor={editor}");
    let accepted: Accepted = client(matches)?.put(&path, text).await?;
    print(&format!("accepted at revision {}", accepted.revision));
    Ok(())
}

async fn get(matches: &ArgMatches) -> Result<()> {
    let section: Section = argument(matches, "section");
    let text: SectionText = client(matches)?.get(&format!("config/{section}")).await?;
    if matches.get_flag("json") {
        let json = serde_json::to_string_pretty(&text)
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        print(&json);
    } else {
        print_note(&format!(
            "revision {}, edited by {}",
            text.revision, text.editor
        ));
        print(&text.text);
    }
    Ok(())
}

async fn put(matches: &ArgMatches) -> Result<()> {
    let section: Section = argument(matches, "section");
    let base: Revision = argument(matches, "base");
    let editor: Editor = argument(matches, "editor");
    let text = read(&argument::<String>(matches, "file"))?;
    let path = format!("config/{section}?base={base}&editor={editor}");
    let accepted: Accepted = client(matches)?.put(&path, text).await?;
    print(&format!("accepted at revision {}", accepted.revision));
    Ok(())
}

async fn watch(matches: &ArgMatches) -> Result<()> {
    let client = client(matches)?;
    let mut chunks = Box::pin(client.stream("config/watch").await?);
    while let Some(chunk) = chunks.next().await {
        let lost = |error: awc::error::PayloadError| {
            Error::new(
                Kind::EndpointLost,
                format!("the connection to the entry was lost: {error}"),
            )
        };
        let chunk = chunk.map_err(lost)?;
        print(&String::from_utf8_lossy(&chunk).trim_end());
    }
    Ok(())
}
